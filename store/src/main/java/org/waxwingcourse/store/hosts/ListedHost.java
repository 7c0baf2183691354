package org.waxwingcourse.store.hosts;

import java.net.InetSocketAddress;
import java.net.URI;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * A host as the platform lists it, and as a host registers itself under {@link
 * HostList#KEY_PREFIX}.
 *
 * @param id the host
 * @param dataCentre where it stands
 * @param callerAddress base address for callers
 * @param peerAddress address for other hosts
 * @param state live or leaving
 */
public record ListedHost(
    HostId id,
    DataCentreId dataCentre,
    URI callerAddress,
    InetSocketAddress peerAddress,
    State state) {
  /** What the list says of a host; it says nothing of dead ones. */
  public enum State {
    /** In service. */
    LIVE,
    /** In a planned stop. */
    LEAVING
  }
}
