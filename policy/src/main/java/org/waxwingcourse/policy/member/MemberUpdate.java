package org.waxwingcourse.policy.member;

import io.vavr.control.Option;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

/**
 * What one host says of another or of itself.
 *
 * @param host the host it is about
 * @param incarnation orders updates about the host
 * @param state what is said
 * @param location where the host is; absent where the receiver is expected to know
 */
public record MemberUpdate(
    HostId host, long incarnation, MemberState state, Option<MemberLocation> location) {
  /** Returns an update with the member's location. */
  public static MemberUpdate full(Member member) {
    return new MemberUpdate(
        member.id(), member.incarnation(), member.state(), Option.some(MemberLocation.of(member)));
  }

  /** Returns an update without location. */
  public static MemberUpdate compact(Member member) {
    return new MemberUpdate(member.id(), member.incarnation(), member.state(), Option.none());
  }

  /** Returns the member that the update describes at the given location. */
  Member member(MemberLocation at) {
    return new Member(
        host, at.dataCentre(), at.callerAddress(), at.peerAddress(), incarnation, state);
  }
}
