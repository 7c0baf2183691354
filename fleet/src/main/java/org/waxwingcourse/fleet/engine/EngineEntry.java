package org.waxwingcourse.fleet.engine;

import java.net.InetSocketAddress;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * An engine's entry in the store.
 *
 * @param id the engine; it may keep its id when it restarts
 * @param service the service that it provides
 * @param address the address that it listens on
 * @param dataCentre the data centre that it runs in
 * @param slots number of requests that it runs at once, zero if not stated
 * @param leaving whether it accepts no new requests
 * @param startedAtMillis Unix time of its start in milliseconds, zero if not stated
 */
public record EngineEntry(
    UpstreamId id,
    ServiceName service,
    InetSocketAddress address,
    DataCentreId dataCentre,
    int slots,
    boolean leaving,
    long startedAtMillis) {
  /** Returns the process that wrote the entry. */
  public EngineBoot boot() {
    return new EngineBoot(id, startedAtMillis);
  }

  /** Returns this entry as that of an engine that accepts no new requests. */
  public EngineEntry asLeaving() {
    return new EngineEntry(id, service, address, dataCentre, slots, true, startedAtMillis);
  }
}
