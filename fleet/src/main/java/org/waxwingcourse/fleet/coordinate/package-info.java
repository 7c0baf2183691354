/** How hosts agree on who hands out slots, and the messages between them and that host. */
package org.waxwingcourse.fleet.coordinate;
