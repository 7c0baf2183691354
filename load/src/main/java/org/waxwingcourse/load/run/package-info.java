/** Sends the requests of a plan on schedule and records the answers. */
package org.waxwingcourse.load.run;
