/** The node's membership of the fleet, the host list for callers and the planned stop. */
package org.waxwingcourse.node.member;
