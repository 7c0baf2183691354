package org.waxwingcourse.fleet.quarantine;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.model.time.Deadline;

/**
 * Refuses requests on whose prompts engines crash. A single request is let through after a delay;
 * if it gets an event, the prompts may run again, and if its engine crashes, the next one is let
 * through after a delay twice as long. So a wrong verdict ends by itself, and a right one costs few
 * engines.
 *
 * <p>Only a run holds the right to be let through, and only for a time: requests that wait for a
 * slot do not hold it, and if nothing is heard of the run, also by a later coordinator, another
 * request is let through.
 *
 * <p>Safe for use by several threads.
 */
public final class PromptQuarantine {
  /** Verdicts that may hold; a host that adds more lifts the least recently matched. */
  static final int MAX_VERDICTS = 32;

  /**
   * Maximum number of entries. Lifted ones are kept, since other hosts and the store may still have
   * an earlier version that holds.
   */
  static final int MAX_ENTRIES = 512;

  /** Delay between a verdict and the first request that is let through. */
  static final Duration FIRST_PROBE_DELAY = Duration.ofSeconds(10);

  /**
   * Factor by which the delay grows with each engine that crashes on a request let through. Engines
   * also crash for other reasons while they run it, and accepted items wait meanwhile.
   */
  static final int DELAY_FACTOR = 2;

  private static final Duration MAX_PROBE_DELAY = Duration.ofDays(1);

  /** Delay before another request is let through if the last one ended without a result. */
  private static final Duration REPEATED_PROBE_DELAY = Duration.ofSeconds(1);

  /** Delay before another request is let through if nothing is heard of the last one. */
  static final Duration UNKNOWN_PROBE_DELAY = Duration.ofSeconds(10);

  /** The same order on all hosts, so that they end with the same entries. */
  private static final Comparator<QuarantinedPrompt> REMOVED_FIRST =
      Comparator.comparing((QuarantinedPrompt e) -> !e.lifted())
          .thenComparingLong(e -> mix(e.parts().hashCode()));

  /** The least recently matched entry comes first. */
  private final Map<Set<Long>, QuarantinedPrompt> entries = new LinkedHashMap<>();

  /** Sum over the entries; each ping of each host asks for it. */
  private long digest;

  /** The runs that were let through, with the parts of the entries that they are to test. */
  private final Map<RunId, List<Set<Long>>> probedBy = new HashMap<>();

  /** Returns when a request with this prompt may next run, none if it may run now. */
  public synchronized Option<Instant> refusedUntil(Collection<Long> promptParts, Instant now) {
    return refusedUntil(matching(promptParts), now);
  }

  private Option<Instant> refusedUntil(List<QuarantinedPrompt> matching, Instant now) {
    matching.forEach(this::put);
    return Option.ofOptional(
        matching.stream()
            .map(e -> e.probeAt().at())
            .filter(at -> at.isAfter(now))
            .max(Instant::compareTo));
  }

  /**
   * Decides on a request for which there is a slot. If it is let through, no other one is until its
   * run has ended, or nothing has been heard of it for some time.
   *
   * @return none if it may run, else when a request with its prompt may next run
   */
  public synchronized Option<Instant> admit(RunId id, Collection<Long> promptParts, Instant now) {
    if (probedBy.containsKey(id)) {
      return Option.none();
    }
    List<QuarantinedPrompt> matching = matching(promptParts);
    Option<Instant> refused = refusedUntil(matching, now);
    if (refused.isDefined() || matching.isEmpty()) {
      return refused;
    }
    Deadline next = Deadline.at(now.plus(UNKNOWN_PROBE_DELAY));
    matching.forEach(e -> put(e.withProbe(e.probes(), next)));
    probedBy.values().removeIf(p -> matching.stream().anyMatch(e -> p.contains(e.parts())));
    probedBy.put(id, matching.stream().map(QuarantinedPrompt::parts).toList());
    return Option.none();
  }

  /** Returns whether requests with this prompt are refused. */
  public synchronized boolean isQuarantined(Collection<Long> promptParts) {
    return !matching(promptParts).isEmpty();
  }

  /** Returns whether a request was let through to find out whether engines still crash on it. */
  public synchronized boolean isProbe(RunId id) {
    return probedBy.containsKey(id);
  }

  /**
   * Adds a verdict: engines crash on prompts that contain all of the parts.
   *
   * @return the new entry, none if such prompts are refused already
   */
  public synchronized Option<QuarantinedPrompt> add(Set<Long> parts, Instant now) {
    if (isQuarantined(parts)) {
      return Option.none();
    }
    List<QuarantinedPrompt> narrower =
        entries.values().stream().filter(e -> !e.lifted() && e.parts().containsAll(parts)).toList();
    narrower.forEach(e -> put(e.asLifted()));
    QuarantinedPrompt known = entries.get(parts);
    int probes = known == null ? 0 : known.probes();
    int version = known == null ? 1 : known.version() + 1;
    QuarantinedPrompt added =
        new QuarantinedPrompt(parts, version, probes, false, probeDeadline(probes, now));
    put(added);
    limitVerdicts();
    return Option.some(added);
  }

  /**
   * Records that a run received an event, so that none of its prompt's parts crashes engines.
   *
   * @return the entries that no longer hold as they were
   */
  public synchronized List<QuarantinedPrompt> recordSound(
      RunId id, Collection<Long> promptParts, Instant now) {
    probedBy.remove(id);
    List<QuarantinedPrompt> refuted =
        entries.values().stream()
            .filter(e -> !e.lifted() && e.parts().stream().anyMatch(promptParts::contains))
            .toList();
    for (QuarantinedPrompt entry : refuted) {
      put(entry.asLifted());
      Set<Long> others = new HashSet<>(entry.parts());
      others.removeAll(promptParts);
      if (!others.isEmpty()) {
        add(others, now);
      }
    }
    return refuted;
  }

  /**
   * Records the end of a run without an event.
   *
   * @param crashed whether its engine closed the connection
   */
  public synchronized void recordEndWithoutEvent(RunId id, boolean crashed, Instant now) {
    List<Set<Long>> probed = probedBy.remove(id);
    if (probed == null) {
      return;
    }
    for (Set<Long> parts : probed) {
      QuarantinedPrompt present = entries.get(parts);
      if (present != null && !present.lifted()) {
        int crashes = present.probes() + (crashed ? 1 : 0);
        Deadline next =
            crashed ? probeDeadline(crashes, now) : Deadline.at(now.plus(REPEATED_PROBE_DELAY));
        put(present.withProbe(crashes, next));
      }
    }
  }

  /** Records that nothing more will be heard of the runs that match. */
  public synchronized void forgetRuns(Predicate<RunId> filter, Instant now) {
    List<RunId> lost = probedBy.keySet().stream().filter(filter).toList();
    lost.forEach(id -> recordEndWithoutEvent(id, false, now));
  }

  /**
   * Takes over an entry of another host if it is newer.
   *
   * @return whether it was
   */
  public synchronized boolean merge(QuarantinedPrompt other) {
    QuarantinedPrompt known = entries.get(other.parts());
    if (known != null && known.version() >= other.version()) {
      return false;
    }
    put(other);
    return entries.containsKey(other.parts());
  }

  /** Returns all entries, the lifted ones included. */
  public synchronized List<QuarantinedPrompt> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns a number that differs if the entries differ; 0 without entries. */
  public synchronized long digest() {
    return digest;
  }

  private static long digestOf(QuarantinedPrompt entry) {
    return mix(31L * entry.parts().hashCode() + entry.version());
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    return mixed ^ (mixed >>> 27);
  }

  private List<QuarantinedPrompt> matching(Collection<Long> promptParts) {
    if (entries.isEmpty()) {
      return List.of();
    }
    return entries.values().stream().filter(e -> e.matches(promptParts)).toList();
  }

  /** Returns when the next request is let through after engines have crashed on {@code probes}. */
  static Deadline probeDeadline(int probes, Instant now) {
    Duration delay = FIRST_PROBE_DELAY;
    for (int i = 0; i < probes && delay.compareTo(MAX_PROBE_DELAY) < 0; i++) {
      delay = delay.multipliedBy(DELAY_FACTOR);
    }
    return Deadline.at(now.plus(delay.compareTo(MAX_PROBE_DELAY) < 0 ? delay : MAX_PROBE_DELAY));
  }

  private void put(QuarantinedPrompt entry) {
    remove(entry.parts());
    entries.put(entry.parts(), entry);
    digest += digestOf(entry);
    if (entries.size() > MAX_ENTRIES) {
      entries.values().stream().min(REMOVED_FIRST).ifPresent(e -> remove(e.parts()));
    }
  }

  private void remove(Set<Long> parts) {
    QuarantinedPrompt removed = entries.remove(parts);
    digest -= removed == null ? 0 : digestOf(removed);
  }

  /** Lifts the least recently matched verdict if there are too many. */
  private void limitVerdicts() {
    List<QuarantinedPrompt> holding = entries.values().stream().filter(e -> !e.lifted()).toList();
    if (holding.size() > MAX_VERDICTS) {
      put(holding.get(0).asLifted());
    }
  }
}
