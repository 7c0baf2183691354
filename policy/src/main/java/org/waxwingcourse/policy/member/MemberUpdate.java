package org.waxwingcourse.policy.member;

import io.vavr.control.Option;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

/**
 * A statement of one host about another host or about itself.
 *
 * @param host the host that the update describes
 * @param incarnation orders the updates about the host
 * @param state the reported state
 * @param location location of the host, or none if the receiver is expected to know it
 */
public record MemberUpdate(
    HostId host, long incarnation, MemberState state, Option<MemberLocation> location) {
  /** Returns an update that includes the member's location. */
  public static MemberUpdate full(Member member) {
    return new MemberUpdate(
        member.id(), member.incarnation(), member.state(), Option.some(MemberLocation.of(member)));
  }

  /** Returns an update without the location. */
  public static MemberUpdate compact(Member member) {
    return new MemberUpdate(member.id(), member.incarnation(), member.state(), Option.none());
  }

  /** Returns the member that the update describes at the given location. */
  Member member(MemberLocation memberLocation) {
    return new Member(
        host,
        memberLocation.dataCentre(),
        memberLocation.callerAddress(),
        memberLocation.peerAddress(),
        incarnation,
        state);
  }
}
