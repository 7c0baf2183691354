/** Whether this host can open connections to engines, and what that says of failed requests. */
package org.waxwingcourse.fleet.reach;
