/** Small models of the job protocol, searched exhaustively. */
package org.waxwingcourse.fleet.job.protocol;
