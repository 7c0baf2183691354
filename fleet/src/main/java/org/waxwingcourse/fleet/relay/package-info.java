/** Requests that another host sends to engines for a host that reaches none. */
package org.waxwingcourse.fleet.relay;
