/** Models of the job protocol at small size, searched exhaustively. */
package org.waxwingcourse.fleet.job.protocol;
