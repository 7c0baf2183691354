package org.waxwingcourse.fleet.engine;

import org.waxwingcourse.model.id.UpstreamId;

/**
 * One process of an engine, which may keep its id when it restarts.
 *
 * @param id the engine
 * @param startedAtMillis Unix time of its start in milliseconds, zero if not stated
 */
public record EngineBoot(UpstreamId id, long startedAtMillis) {
  /** Returns a hash that is the same on all hosts, and that two boots hardly ever share. */
  public long hash() {
    return StableHash.of(startedAtMillis, id.value());
  }
}
