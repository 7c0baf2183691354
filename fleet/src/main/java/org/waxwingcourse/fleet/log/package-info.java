/** Logging of a host: lines of JSON on standard output, through a bounded queue. */
package org.waxwingcourse.fleet.log;
