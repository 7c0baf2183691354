/** Sends a plan's requests by their schedule and watches the answers. */
package org.waxwingcourse.load.run;
