package org.waxwingcourse.store.hosts;

import java.net.InetSocketAddress;
import java.net.URI;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * A host in the platform's list, and the form in which a host registers itself under {@link
 * HostList#KEY_PREFIX}.
 *
 * @param id the host
 * @param dataCentre the data centre of the host
 * @param callerAddress base address for callers
 * @param peerAddress address for other hosts
 * @param state the state of the host
 */
public record ListedHost(
    HostId id,
    DataCentreId dataCentre,
    URI callerAddress,
    InetSocketAddress peerAddress,
    State state) {
  /** The state of a listed host. The list has no state for hosts that have failed. */
  public enum State {
    /** The host is in service. */
    LIVE,
    /** The host is in a planned stop. */
    LEAVING
  }
}
