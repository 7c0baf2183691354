/**
 * The choice of the coordinator, which grants slots to the hosts, and the messages between the
 * hosts and the coordinator.
 */
package org.waxwingcourse.fleet.coordinate;
