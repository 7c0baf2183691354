package org.waxwingcourse.policy.member;

import java.net.InetSocketAddress;
import java.net.URI;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.member.Member;

/**
 * Data centre and addresses of a host.
 *
 * @param dataCentre the data centre of the host
 * @param callerAddress base URI for callers
 * @param peerAddress address for other hosts
 */
public record MemberLocation(
    DataCentreId dataCentre, URI callerAddress, InetSocketAddress peerAddress) {
  /** Returns the location of a member. */
  public static MemberLocation of(Member member) {
    return new MemberLocation(member.dataCentre(), member.callerAddress(), member.peerAddress());
  }
}
