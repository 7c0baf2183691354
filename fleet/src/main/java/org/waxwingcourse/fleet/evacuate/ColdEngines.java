package org.waxwingcourse.fleet.evacuate;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.waxwingcourse.fleet.engine.ColdTerms;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Until when engines count as cold. An entry states how much longer its engine stays cold; the time
 * is counted from when the entry was first seen here, which is never too short. Engines of a data
 * centre that is no longer evacuated count as cold too, since they may have become so unseen, until
 * a later entry states that they are not.
 *
 * <p>Not safe for use by several threads; guarded by {@link EngineConditions}.
 */
final class ColdEngines {
  private final InstantSource clock;
  private final Map<UpstreamId, Cold> engines = new HashMap<>();

  /**
   * That an engine counts as cold.
   *
   * @param since the revision of the entry or of the read of the orders that said so
   * @param presumed whether no entry said so
   */
  private record Cold(Revision since, Instant until, boolean presumed) {}

  ColdEngines(InstantSource clock) {
    this.clock = clock;
  }

  /** Learns of an entry as it was written at a revision. */
  void observe(EngineEntry entry, Revision written) {
    Cold known = engines.get(entry.id());
    if (known != null && !written.isAfter(known.since)) {
      return;
    }
    if (entry.condition().statedCold().isZero()) {
      engines.remove(entry.id());
    } else {
      Instant until = clock.instant().plus(entry.condition().statedCold());
      engines.put(entry.id(), new Cold(written, until, false));
    }
  }

  /** Records that an engine may be used again as of a revision, and may be cold. */
  void presumeCold(EngineEntry entry, ColdTerms terms, Revision asOf) {
    Cold known = engines.get(entry.id());
    Instant until = clock.instant().plus(terms.startTime());
    if (known == null || known.until.isBefore(until)) {
      engines.put(entry.id(), new Cold(asOf, until, true));
    }
  }

  /** Returns until when an engine counts as cold; in the past if it does not now. */
  Instant until(UpstreamId engine) {
    Cold known = engines.get(engine);
    return known == null ? Instant.MIN : known.until;
  }

  /** Returns whether an engine counts as cold that a later entry may show not to be. */
  boolean hasPresumed() {
    Instant now = clock.instant();
    return engines.values().stream().anyMatch(c -> c.presumed && now.isBefore(c.until));
  }

  void retainAll(Collection<UpstreamId> listed) {
    engines.keySet().retainAll(listed);
  }
}
