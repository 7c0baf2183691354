package org.waxwingcourse.model.member;

import java.net.InetSocketAddress;
import java.net.URI;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * A host as this host sees it.
 *
 * @param id the name of the host
 * @param dataCentre the data centre of the host
 * @param callerAddress the base address for callers
 * @param peerAddress the address for other hosts
 * @param incarnation a number that increases each time the host starts or refutes a suspicion
 * @param state the state of the host
 */
public record Member(
    HostId id,
    DataCentreId dataCentre,
    URI callerAddress,
    InetSocketAddress peerAddress,
    long incarnation,
    MemberState state) {
  /** Returns a copy of this member with the given state. */
  public Member in(MemberState newState) {
    return new Member(id, dataCentre, callerAddress, peerAddress, incarnation, newState);
  }

  /** Returns whether the host accepts new work. */
  public boolean takesWork() {
    return state == MemberState.ALIVE || state == MemberState.SUSPECT;
  }
}
