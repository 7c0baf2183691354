package org.waxwingcourse.fleet.engine;

import org.waxwingcourse.model.id.UpstreamId;

/**
 * One process of an engine, which may keep its id when it restarts.
 *
 * @param id the engine
 * @param startedAtMillis Unix time of its start in milliseconds, zero if not stated
 */
public record EngineBoot(UpstreamId id, long startedAtMillis) {
  private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

  /** Returns a hash that is the same on all hosts, and that two boots hardly ever share. */
  public long hash() {
    long hash = startedAtMillis;
    for (int i = 0; i < id.value().length(); i++) {
      hash = (hash ^ id.value().charAt(i)) * MULTIPLIER;
      hash ^= hash >>> 32;
    }
    return hash;
  }
}
