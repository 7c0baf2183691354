package org.waxwingcourse.fleet.quarantine;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.time.Deadline;

/**
 * Counts the engines that end under each request and refuses a request once there are several,
 * whoever sends it again. A few requests are let through much later, one at a time; a whole answer
 * clears the request, so a wrong verdict ends by itself. A right one costs no more engines after
 * that: it holds for as long as there is room to remember it.
 *
 * <p>Requests that only shared an engine with the one at fault are counted too. They seldom meet it
 * a third time, and any whole answer clears them.
 *
 * <p>Safe for use by several threads.
 */
public final class CrashingRequests {
  /** Engines that close the connection of a run of a request before it is refused. */
  static final int BREAKS_FOR_VERDICT = 3;

  /** The same of engines that have certainly ended, and under no other request that is refused. */
  static final int ENDED_ENGINES_FOR_VERDICT = 2;

  /** Most engines remembered that have certainly ended. */
  private static final int MAX_ENDED_ENGINES = 256;

  /** Most requests remembered. */
  static final int MAX_RECORDS = 4_096;

  /** Most requests of one organisation remembered, so that none can push out all others'. */
  static final int MAX_RECORDS_PER_OWNER = 1_024;

  /** Number of requests with one fingerprint that are let through after the verdict. */
  static final int MAX_PROBES = 2;

  /** Delay between the verdict and the first request that is let through. */
  static final Duration FIRST_PROBE_DELAY = Duration.ofSeconds(30);

  /** Delay until the second one. */
  static final Duration SECOND_PROBE_DELAY = Duration.ofMinutes(10);

  /** When callers are told to return once no more requests are let through. */
  static final Duration LAST_RETRY_DELAY = Duration.ofDays(1);

  /** Time in which a request that was let through has been granted a slot or is gone. */
  private static final Duration PROBE_WAIT = Duration.ofSeconds(5);

  /** Time for which a request without a verdict is remembered after its last crash. */
  private static final Duration SUSPECT_RETENTION = Duration.ofHours(1);

  /** The least recently used record comes first. */
  private final Map<RequestFingerprint, Held> records = new LinkedHashMap<>();

  private final Map<RequestFingerprint, Probe> probing = new HashMap<>();

  /** Engines that have certainly ended, with the first refused request that was on each. */
  private final Map<Long, Option<RequestFingerprint>> endedEngines =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Option<RequestFingerprint>> eldest) {
          return size() > MAX_ENDED_ENGINES;
        }
      };

  private long lastVersion;
  private long verdicts;

  /** A record, the number of its last change here, and when it may be forgotten. */
  private record Held(CrashRecord value, long version, Deadline suspectUntil) {}

  private record Probe(RunId run, Deadline grantedBy) {}

  /** A record and the number of its last change on this host. */
  public record Change(CrashRecord record, long version) {}

  /**
   * Records that an engine closed the connection of a run of the request.
   *
   * @return the record if it makes a verdict now and did not before
   */
  public Option<CrashRecord> recordCrash(
      RequestFingerprint request, EngineBoot engine, Instant now) {
    return recordCrash(request, engine.hash(), now);
  }

  /** As {@link #recordCrash(RequestFingerprint, EngineBoot, Instant)}, with the engine's hash. */
  public synchronized Option<CrashRecord> recordCrash(
      RequestFingerprint request, long engine, Instant now) {
    CrashRecord known = recordOf(request);
    return update(known, known.withCrash(engine), now);
  }

  /**
   * Records that an engine has certainly ended, since several of its runs broke off together; a
   * single answer may be lost without that.
   *
   * @param engine hash of the engine's process
   * @return the records that make a verdict now and did not before
   */
  public synchronized List<CrashRecord> recordEndedEngine(long engine, Instant now) {
    List<CrashRecord> involved =
        records.values().stream()
            .map(Held::value)
            .filter(r -> r.engines().contains(engine))
            .toList();
    endedEngines.putIfAbsent(
        engine,
        Option.ofOptional(
            involved.stream().filter(CrashRecord::refused).map(CrashRecord::request).findFirst()));
    return involved.stream().flatMap(r -> update(r, r, now).toJavaStream()).toList();
  }

  /**
   * Records that the request was answered whole, so that it does not crash engines.
   *
   * @return the record that has ended, none if there was none
   */
  public synchronized Option<CrashRecord> recordWhole(RequestFingerprint request, Instant now) {
    CrashRecord known = recordOf(request);
    probing.remove(request);
    if (known.crashes() == 0) {
      return Option.none();
    }
    update(known, known.cleared(), now);
    return Option.some(known);
  }

  /** Returns when the request may next run, none if it may run now. */
  public synchronized Option<Instant> refusedUntil(RequestFingerprint request, Instant now) {
    CrashRecord known = recordOf(request);
    if (!known.refused()) {
      return Option.none();
    }
    touch(request);
    if (known.probes() >= MAX_PROBES) {
      return Option.some(now.plus(LAST_RETRY_DELAY));
    }
    return known.probeAt().map(Deadline::at).filter(at -> at.isAfter(now));
  }

  /**
   * Decides on a request for a slot; at most one with its fingerprint is let through at a time.
   *
   * @return as {@link #refusedUntil}
   */
  public synchronized Option<Instant> admit(RunId run, RequestFingerprint request, Instant now) {
    Option<Instant> refused = refusedUntil(request, now);
    if (refused.isDefined() || !recordOf(request).refused()) {
      return refused;
    }
    Probe present = probing.get(request);
    if (present != null && !present.run.equals(run) && !present.grantedBy.isPast(now)) {
      return Option.some(present.grantedBy.at());
    }
    probing.put(request, new Probe(run, Deadline.at(now.plus(PROBE_WAIT))));
    return Option.none();
  }

  /**
   * Records that a request was granted a slot.
   *
   * @return whether it was let through although engines crash on it
   */
  public synchronized boolean recordGrant(RequestFingerprint request, Instant now) {
    CrashRecord known = recordOf(request);
    if (!known.refused()) {
      return false;
    }
    probing.remove(request);
    Deadline next = Deadline.at(now.plus(SECOND_PROBE_DELAY));
    update(known, known.withProbes(known.probes() + 1, next), now);
    return true;
  }

  /**
   * Takes over what another host knows of a request.
   *
   * @return the record if it makes a verdict now and did not before
   */
  public synchronized Option<CrashRecord> merge(CrashRecord other, Instant now) {
    CrashRecord known = recordOf(other.request());
    return update(known, known.merge(other), now);
  }

  /** Returns a number that grows with each verdict, from wherever it comes. */
  public synchronized long verdicts() {
    return verdicts;
  }

  /** Returns the number of the last change, zero before the first. */
  public synchronized long version() {
    return lastVersion;
  }

  /** Returns the first changes after the given one, in order. */
  public synchronized List<Change> changesAfter(long version, int max) {
    if (version >= lastVersion) {
      return List.of();
    }
    return records.values().stream()
        .filter(h -> h.version > version)
        .sorted(Comparator.comparingLong(Held::version))
        .limit(max)
        .map(h -> new Change(h.value, h.version))
        .toList();
  }

  /** Returns the records of requests under which at least {@code crashes} engines have ended. */
  public synchronized List<CrashRecord> withCrashes(int crashes) {
    return records.values().stream().map(Held::value).filter(r -> r.crashes() >= crashes).toList();
  }

  synchronized int size() {
    return records.size();
  }

  private CrashRecord recordOf(RequestFingerprint request) {
    Held held = records.get(request);
    return held == null ? CrashRecord.of(request) : held.value;
  }

  private Option<CrashRecord> update(CrashRecord known, CrashRecord next, Instant now) {
    boolean reached = (next.refused() || isVerdict(next)) && !known.refused();
    if (next.equals(known) && !reached) {
      return Option.none();
    }
    Deadline firstProbe = Deadline.at(now.plus(FIRST_PROBE_DELAY));
    CrashRecord kept =
        reached ? next.withProbes(next.probes(), next.probeAt().getOrElse(firstProbe)) : next;
    removeExpired(now);
    records.remove(kept.request());
    Deadline suspectUntil = Deadline.at(now.plus(SUSPECT_RETENTION));
    records.put(kept.request(), new Held(kept, ++lastVersion, suspectUntil));
    removeExcess(kept.request().owner());
    if (reached) {
      verdicts++;
      blameForEngines(kept);
    }
    return Option.when(reached, kept);
  }

  private boolean isVerdict(CrashRecord record) {
    return record.crashes() >= BREAKS_FOR_VERDICT
        || record.engines().stream().filter(e -> endedUnder(e, record.request())).count()
            >= ENDED_ENGINES_FOR_VERDICT;
  }

  /**
   * Returns whether an engine has certainly ended, and no other request is known to be at fault.
   */
  private boolean endedUnder(long engine, RequestFingerprint request) {
    Option<RequestFingerprint> blamed = endedEngines.get(engine);
    return blamed != null && blamed.forAll(request::equals);
  }

  private void blameForEngines(CrashRecord refused) {
    for (long engine : refused.engines()) {
      endedEngines.computeIfPresent(
          engine, (e, blamed) -> blamed.orElse(Option.some(refused.request())));
    }
  }

  private void touch(RequestFingerprint request) {
    Held held = records.remove(request);
    records.put(request, held);
  }

  private void removeExpired(Instant now) {
    records.values().removeIf(h -> !h.value.refused() && h.suspectUntil.isPast(now));
  }

  private void removeExcess(int owner) {
    List<RequestFingerprint> own = new ArrayList<>();
    for (RequestFingerprint request : records.keySet()) {
      if (request.owner() == owner) {
        own.add(request);
      }
    }
    if (own.size() > MAX_RECORDS_PER_OWNER) {
      removeOne(own);
    }
    if (records.size() > MAX_RECORDS) {
      removeOne(records.keySet());
    }
  }

  /** Removes the first record without a verdict, or the first one if all have one. */
  private void removeOne(Collection<RequestFingerprint> leastUsedFirst) {
    RequestFingerprint removed =
        leastUsedFirst.stream()
            .filter(r -> !records.get(r).value.refused())
            .findFirst()
            .orElseGet(() -> leastUsedFirst.iterator().next());
    records.remove(removed);
  }
}
