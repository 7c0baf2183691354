/** The node's part in the fleet: membership, host answers and the planned stop. */
package org.waxwingcourse.node.member;
