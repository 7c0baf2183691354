package org.waxwingcourse.model.member;

import java.net.InetSocketAddress;
import java.net.URI;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * One host as this host sees it.
 *
 * @param id the host
 * @param dataCentre where it stands
 * @param callerAddress base address for callers
 * @param peerAddress address for other hosts
 * @param incarnation rises each time the host starts or refutes a suspicion
 * @param state what is believed of it
 */
public record Member(
    HostId id,
    DataCentreId dataCentre,
    URI callerAddress,
    InetSocketAddress peerAddress,
    long incarnation,
    MemberState state) {
  /** Returns the same host in another state. */
  public Member in(MemberState newState) {
    return new Member(id, dataCentre, callerAddress, peerAddress, incarnation, newState);
  }

  /** Tells whether the host takes new work. */
  public boolean takesWork() {
    return state == MemberState.ALIVE || state == MemberState.SUSPECT;
  }
}
