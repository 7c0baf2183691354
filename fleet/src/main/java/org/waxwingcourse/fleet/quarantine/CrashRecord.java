package org.waxwingcourse.fleet.quarantine;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Set;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.time.Deadline;

/**
 * The engines that ended while a request ran on them. Two hosts that have noticed different crashes
 * merge their records, whatever the order.
 *
 * @param request the request
 * @param generation number of times that the request was answered whole, which ends its record
 * @param engines the processes of engines that ended under it since, see {@link
 *     org.waxwingcourse.fleet.engine.EngineBoot#hash()}
 * @param refused whether the request is refused, which lasts until a whole answer
 * @param probes number of requests that were let through although engines crash
 * @param probeAt when the next one may be let through; none as long as the request is not refused
 */
public record CrashRecord(
    RequestFingerprint request,
    int generation,
    Set<Long> engines,
    boolean refused,
    int probes,
    Option<Deadline> probeAt) {
  /** Most engines named; more would tell nothing new. */
  private static final int MAX_ENGINES = 16;

  /** Copies the set. */
  public CrashRecord {
    engines = Set.copyOf(engines);
  }

  /** Returns the record of a request under which no engine has crashed. */
  static CrashRecord of(RequestFingerprint request) {
    return new CrashRecord(request, 0, Set.of(), false, 0, Option.none());
  }

  /** Returns the number of crashes. */
  public int crashes() {
    return engines.size();
  }

  /** Returns a number that differs if what other hosts have to know of the request differs. */
  long digest() {
    long digest = request.high() ^ request.low() + 31L * generation + 7L * probes;
    digest += refused ? 1 : 0;
    for (long engine : engines) {
      digest += engine;
    }
    return digest;
  }

  CrashRecord withCrash(long engine) {
    return new CrashRecord(request, generation, union(Set.of(engine)), refused, probes, probeAt);
  }

  /** Returns this record as that of a request that is refused. */
  CrashRecord withProbes(int newProbes, Deadline newProbeAt) {
    return new CrashRecord(request, generation, engines, true, newProbes, Option.some(newProbeAt));
  }

  /** Returns the record after a whole answer. */
  CrashRecord cleared() {
    return new CrashRecord(request, generation + 1, Set.of(), false, 0, Option.none());
  }

  /** Returns what this record and another one of the same request know together. */
  CrashRecord merge(CrashRecord other) {
    if (generation != other.generation) {
      return generation > other.generation ? this : other;
    }
    // Of equal numbers of probes this host's time stays: clocks differ, and a host that took the
    // later time would have a change to tell each time.
    Option<Deadline> next = other.probes > probes || probeAt.isEmpty() ? other.probeAt : probeAt;
    return new CrashRecord(
        request,
        generation,
        union(other.engines),
        refused || other.refused,
        Math.max(probes, other.probes),
        next);
  }

  private Set<Long> union(Set<Long> others) {
    Set<Long> all = new HashSet<>(engines);
    all.addAll(others);
    return all.size() > MAX_ENGINES ? engines : all;
  }
}
