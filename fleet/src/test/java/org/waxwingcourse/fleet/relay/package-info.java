/** Requests that another host sends, while messages between the hosts are lost. */
package org.waxwingcourse.fleet.relay;
