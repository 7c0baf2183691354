/** The protobuf encoding of membership messages. */
package org.waxwingcourse.peer.member;
