/** Where the log lines of a host go: JSON on standard output, through a bounded queue. */
package org.waxwingcourse.fleet.log;
