/** Membership messages on the wire between hosts. */
package org.waxwingcourse.peer.member;
