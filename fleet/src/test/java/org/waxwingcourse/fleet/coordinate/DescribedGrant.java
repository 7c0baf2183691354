package org.waxwingcourse.fleet.coordinate;

import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.wire.fleet.SlotGrant;

/** A grant that describes its engine, as coordinators send it of recently listed ones. */
public final class DescribedGrant {
  private DescribedGrant() {}

  /** Returns the grant of a slot on {@code engine}. */
  public static SlotGrant of(long number, EngineEntry engine) {
    return SlotGrant.newBuilder()
        .setNumber(number)
        .setEngine(engine.id().value())
        .setEntry(FleetMessageConverter.encodeEngine(engine))
        .build();
  }
}
