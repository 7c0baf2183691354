package org.waxwingcourse.fleet.engine;

import java.net.InetSocketAddress;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * What an engine says of itself in the store.
 *
 * @param id the engine; a restart may keep it
 * @param service what it serves
 * @param address where it listens
 * @param dataCentre where it stands
 * @param slots requests that it runs at once, zero if it does not say
 * @param leaving whether it wants no new requests
 * @param born Unix milliseconds of its start, zero if it does not say
 */
public record EngineEntry(
    UpstreamId id,
    ServiceName service,
    InetSocketAddress address,
    DataCentreId dataCentre,
    int slots,
    boolean leaving,
    long born) {}
