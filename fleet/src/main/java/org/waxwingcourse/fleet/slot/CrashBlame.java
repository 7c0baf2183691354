package org.waxwingcourse.fleet.slot;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Finds the prompt parts under which engines crash, from the starts and ends of runs.
 *
 * <ul>
 *   <li>An engine has crashed if most of its runs break off within a short time. Signs of life from
 *       a later run revoke the crash.
 *   <li>The parts of the runs without an event are suspects of the crash. The last part of a prompt
 *       belongs to the request itself and is never a suspect.
 *   <li>An event acquits all parts of its run for good.
 *   <li>Crashes count as independent for a part if the run in the later one started after the
 *       earlier one was noticed, so engines that end together for another reason count once.
 *   <li>A process that has crashed cannot crash again. Runs that are sent to it break off until the
 *       engine has started anew and is listed so.
 *   <li>A verdict takes two independent crashes, more for a part that has been seen sound or if
 *       other engines crash at the time.
 *   <li>A crash on a prompt with a verdict incriminates no other part.
 *   <li>Crashes that one request or item was in, all of them, say nothing about its prompt: they
 *       may be its own. Against a part that has been seen sound, crashes under requests that are
 *       known to crash engines count only if there are several such requests since.
 * </ul>
 *
 * <p>Safe for use by several threads: one lock.
 */
public final class CrashBlame {
  /** Within this time the ends of the runs of a crashed engine arrive. */
  private static final Duration CRASH_WINDOW = Duration.ofMillis(300);

  /** A run that ends later than this after a crash has outlived it; before, its end was delayed. */
  private static final Duration MAX_END_DELAY = Duration.ofSeconds(1);

  /** Crashes this long before or after one another may have one cause. */
  private static final Duration COMMON_CAUSE_SPAN = Duration.ofSeconds(1);

  /** Time after which a crash no longer counts. */
  private static final Duration CRASH_RETENTION = Duration.ofMinutes(10);

  /** Independent crashes that make a verdict on a part without an event so far. */
  private static final int CRASHES_FOR_VERDICT = 2;

  /** The same on a part that has been seen sound. */
  private static final int CRASHES_FOR_VERDICT_ON_SOUND = 4;

  /** Requests known to crash engines whose crashes count against a part that was seen sound. */
  private static final int BLAMED_FOR_VERDICT = 4;

  /** Crashes that a part does not explain and that raise its threshold by one. */
  private static final int UNEXPLAINED_PER_CRASH = 2;

  /** Most crashes by which unexplained ones raise a threshold. */
  private static final int MAX_EXTRA_CRASHES = 2;

  private static final long UNKNOWN_PROCESS = 0;

  private static final int MAX_RUNS = 65_536;
  private static final int MAX_CRASHES = 256;
  private static final int MAX_VERDICTS = 64;
  private static final int MAX_SOUND_PARTS = 8_192;
  private static final int MAX_BLAMED_REQUESTS = 1_024;

  private final Map<RunId, Run> runs = new LinkedHashMap<>();
  private final Map<UpstreamId, EngineRuns> engines = new HashMap<>();
  private final Deque<Crash> crashes = new ArrayDeque<>();
  private final Map<Long, Suspicion> suspicions = new HashMap<>();
  private final Set<Set<Long>> verdicts = new LinkedHashSet<>();

  private final Map<Long, Boolean> soundParts = createBounded(MAX_SOUND_PARTS);
  private final Map<RequestFingerprint, Boolean> blamedRequests =
      createBounded(MAX_BLAMED_REQUESTS);

  /** Returns a map that forgets the least recently used keys. */
  private static <K> Map<K, Boolean> createBounded(int maxSize) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, Boolean> eldest) {
        return size() > maxSize;
      }
    };
  }

  private record Run(
      RunId id,
      UpstreamId engine,
      Set<Long> parts,
      Either<RequestId, RequestFingerprint> request,
      Instant startedAt) {}

  /** The present runs of an engine and its latest crash that may still change. */
  private static final class EngineRuns {
    private final Map<RunId, Run> present = new LinkedHashMap<>();
    private Crash crash;

    private long presentAt(Instant at) {
      return present.values().stream().filter(r -> r.startedAt.isBefore(at)).count();
    }
  }

  /** A crash, or what may turn out to be one. */
  private static final class Crash {
    private final Instant noticedAt;
    private final List<Run> suspects = new ArrayList<>();
    private final Set<Long> processes = new HashSet<>();
    private int brokenOff;
    private int notBrokenOff;
    private boolean confirmed;

    private Crash(Instant noticedAt) {
      this.noticedAt = noticedAt;
    }

    private boolean involves(Collection<Long> parts) {
      return suspects.stream().anyMatch(r -> r.parts.containsAll(parts));
    }

    /** Returns the requests of the suspects whose prompts have the part. */
    private Set<Either<RequestId, RequestFingerprint>> requestsWith(Long part) {
      return suspects.stream()
          .filter(r -> r.parts.contains(part))
          .map(Run::request)
          .collect(Collectors.toSet());
    }

    private boolean involvesAny(Set<RequestFingerprint> requests) {
      return suspects.stream().anyMatch(r -> r.request.exists(requests::contains));
    }
  }

  /** The confirmed crashes of a part, with the start of its last run in each. */
  private static final class Suspicion {
    private final Map<Crash, Instant> startedAt = new LinkedHashMap<>();

    private void add(Crash crash, Instant start) {
      startedAt.merge(crash, start, (a, b) -> a.isAfter(b) ? a : b);
    }
  }

  /**
   * Records that a run was granted an engine. A repeated grant changes nothing.
   *
   * @param request equal for the runs of one request or item, and for those of equal requests
   */
  public synchronized void recordStart(
      RunId run,
      UpstreamId engine,
      List<Long> promptParts,
      Either<RequestId, RequestFingerprint> request,
      Instant now) {
    Run known = runs.get(run);
    if (known != null && known.engine.equals(engine)) {
      return;
    }
    removeRun(run);
    Run started = new Run(run, engine, sharedParts(promptParts), request, now);
    runs.put(run, started);
    engines.computeIfAbsent(engine, e -> new EngineRuns()).present.put(run, started);
    if (runs.size() > MAX_RUNS) {
      removeRun(runs.keySet().iterator().next());
    }
  }

  /**
   * Records the end of a run.
   *
   * @param process hash of the engine's process if it closed the connection, 0 if not known
   * @return the verdicts reached or confirmed by a further crash: sets of parts such that prompts
   *     that contain all of one set crash engines
   */
  public synchronized List<Set<Long>> recordEnd(RunId run, RunEnd end, long process, Instant now) {
    Run ended = removeRun(run);
    if (ended == null) {
      return List.of();
    }
    EngineRuns engine = engines.get(ended.engine);
    boolean hasEvent = hasEvent(end);
    boolean answered = hasEvent || end.how() == RunEnd.How.WHOLE;
    boolean changed = answered && acquit(ended.parts);
    Crash changedCrash = null;
    if (isSignOfLife(ended, end, engine.crash, now)) {
      changed |= revoke(engine);
    }
    if (end.how() == RunEnd.How.ENGINE_BROKE_OFF) {
      changedCrash = recordBreak(engine, ended, hasEvent, process, now);
    } else if (engine.crash != null && ended.startedAt.isBefore(engine.crash.noticedAt)) {
      engine.crash.notBrokenOff += end.lostEngine() ? 0 : 1;
    }
    if (engine.crash != null && !engine.crash.confirmed && isDecided(engine)) {
      changedCrash = close(engine);
    }
    removeIfIdle(ended.engine, engine);
    return changed || changedCrash != null ? findVerdicts(changedCrash) : List.of();
  }

  /** Returns the verdicts that the passing of time has brought. */
  public synchronized List<Set<Long>> update(Instant now) {
    List<Set<Long>> reached = new ArrayList<>();
    for (EngineRuns engine : engines.values()) {
      if (engine.crash == null) {
        continue;
      }
      if (!engine.crash.confirmed && !now.isBefore(engine.crash.noticedAt.plus(CRASH_WINDOW))) {
        Crash closed = close(engine);
        if (closed != null) {
          reached.addAll(findVerdicts(closed));
        }
      }
    }
    engines.values().removeIf(e -> e.present.isEmpty() && isSettled(e, now));
    while (!crashes.isEmpty()
        && crashes.peekFirst().noticedAt.isBefore(now.minus(CRASH_RETENTION))) {
      forget(crashes.peekFirst());
    }
    return reached.stream().distinct().toList();
  }

  /** Removes the runs of a host that is gone or has detached. */
  public synchronized void removeHost(HostId host) {
    runs.keySet().stream().filter(r -> r.host().equals(host)).toList().forEach(this::removeRun);
  }

  /** Removes a run whose end is not known, as when its host no longer lists it. */
  public synchronized void forgetRun(RunId run) {
    removeRun(run);
  }

  /**
   * Removes the runs of a host that are missing from the list of runs that it reports, but for
   * those that started after {@code knownUntil}, which it may not have known of.
   *
   * @return the runs removed
   */
  public synchronized Set<RunId> retainListedRuns(
      HostId host, Set<RunId> listed, Instant knownUntil) {
    Set<RunId> removed =
        runs.values().stream()
            .filter(r -> r.id.host().equals(host) && !listed.contains(r.id))
            .filter(r -> r.startedAt.isBefore(knownUntil))
            .map(Run::id)
            .collect(Collectors.toSet());
    removed.forEach(this::removeRun);
    return removed;
  }

  /** Removes the runs of an engine that is no longer listed. */
  public synchronized void removeEngine(UpstreamId engine) {
    EngineRuns removed = engines.get(engine);
    if (removed != null) {
      List.copyOf(removed.present.keySet()).forEach(this::removeRun);
    }
  }

  /** Records that engines crash under a request, whatever its prompt. */
  public synchronized void blameRequest(RequestFingerprint request) {
    blamedRequests.put(request, true);
  }

  /** Returns whether a part of the prompt was in a crash and has had no event since. */
  public synchronized boolean isSuspect(List<Long> promptParts) {
    return sharedParts(promptParts).stream().anyMatch(p -> !crashesOf(p).isEmpty());
  }

  /** Returns the number of parts, runs and crashes held. */
  synchronized int size() {
    return runs.size() + engines.size() + crashes.size() + suspicions.size() + soundParts.size();
  }

  private static Set<Long> sharedParts(List<Long> promptParts) {
    return promptParts.isEmpty()
        ? Set.of()
        : new LinkedHashSet<>(promptParts.subList(0, promptParts.size() - 1));
  }

  private Run removeRun(RunId id) {
    Run run = runs.remove(id);
    if (run != null) {
      engines.get(run.engine).present.remove(id);
    }
    return run;
  }

  private void removeIfIdle(UpstreamId id, EngineRuns engine) {
    if (engine.present.isEmpty() && engine.crash == null) {
      engines.remove(id);
    }
  }

  private static boolean isSettled(EngineRuns engine, Instant now) {
    return engine.crash == null
        || engine.crash.confirmed && engine.crash.noticedAt.plus(CRASH_RETENTION).isBefore(now);
  }

  private static boolean hasEvent(RunEnd end) {
    return !end.firstEventDelay().isZero();
  }

  /** Returns whether the end shows that the engine worked after the crash. */
  private static boolean isSignOfLife(Run run, RunEnd end, Crash crash, Instant now) {
    if (crash == null) {
      return false;
    }
    boolean startedAfter = !run.startedAt.isBefore(crash.noticedAt);
    boolean endedAfter = now.isAfter(crash.noticedAt.plus(MAX_END_DELAY));
    return switch (end.how()) {
      case WHOLE, ENGINE_FULL, ENGINE_FAILED -> startedAfter || endedAfter;
      default -> startedAfter && hasEvent(end);
    };
  }

  /** Returns the confirmed crash that the run has joined, null if there is none. */
  private Crash recordBreak(
      EngineRuns engine, Run run, boolean hasEvent, long process, Instant now) {
    if (engine.crash == null) {
      engine.crash = new Crash(now);
    } else if (engine.crash.confirmed && !run.startedAt.isBefore(engine.crash.noticedAt)) {
      if (engine.crash.processes.contains(process)) {
        return null;
      }
      engine.crash = new Crash(now);
    }
    Crash crash = engine.crash;
    crash.brokenOff++;
    if (process != UNKNOWN_PROCESS) {
      crash.processes.add(process);
    }
    if (!hasEvent && !run.parts.isEmpty()) {
      crash.suspects.add(run);
      if (crash.confirmed) {
        suspect(crash, run);
        return crash;
      }
    }
    return null;
  }

  private static boolean isDecided(EngineRuns engine) {
    return engine.presentAt(engine.crash.noticedAt) == 0
        || engine.crash.brokenOff > 1 && isMostBrokenOff(engine);
  }

  private static boolean isMostBrokenOff(EngineRuns engine) {
    Crash crash = engine.crash;
    return crash.brokenOff > crash.notBrokenOff + engine.presentAt(crash.noticedAt);
  }

  /** Decides whether the engine has crashed; returns the crash if it has, else null. */
  private Crash close(EngineRuns engine) {
    Crash crash = engine.crash;
    if (!isMostBrokenOff(engine)) {
      engine.crash = null;
      return null;
    }
    crash.confirmed = true;
    crashes.addLast(crash);
    crash.suspects.forEach(r -> suspect(crash, r));
    if (crashes.size() > MAX_CRASHES) {
      forget(crashes.peekFirst());
    }
    return crash;
  }

  private void suspect(Crash crash, Run run) {
    run.parts.forEach(
        p -> suspicions.computeIfAbsent(p, k -> new Suspicion()).add(crash, run.startedAt));
  }

  private boolean revoke(EngineRuns engine) {
    Crash crash = engine.crash;
    engine.crash = null;
    if (crash.confirmed) {
      forget(crash);
    }
    return crash.confirmed;
  }

  private void forget(Crash crash) {
    crashes.remove(crash);
    Iterator<Suspicion> all = suspicions.values().iterator();
    while (all.hasNext()) {
      Suspicion suspicion = all.next();
      suspicion.startedAt.remove(crash);
      if (suspicion.startedAt.isEmpty()) {
        all.remove();
      }
    }
  }

  /** Clears the parts of suspicion; returns whether there was one. */
  private boolean acquit(Set<Long> parts) {
    boolean changed = false;
    for (Long part : parts) {
      soundParts.put(part, true);
      changed |= suspicions.remove(part) != null;
    }
    return changed;
  }

  /** Returns the crashes of a part that no verdict on other parts explains. */
  private Map<Crash, Instant> crashesOf(Long part) {
    Suspicion suspicion = suspicions.get(part);
    if (suspicion == null) {
      return Map.of();
    }
    Map<Crash, Instant> open = new LinkedHashMap<>(suspicion.startedAt);
    open.keySet().removeIf(c -> isExplained(c, part));
    if (soundParts.containsKey(part) && countBlamed(open.keySet(), part) < BLAMED_FOR_VERDICT) {
      open.keySet().removeIf(c -> c.involvesAny(blamedRequests.keySet()));
    }
    return open;
  }

  /** Returns whether all crashes may be those of one request with the part. */
  private static boolean isOfOneRequest(Set<Crash> crashes, Long part) {
    Set<Either<RequestId, RequestFingerprint>> common = null;
    for (Crash crash : crashes) {
      Set<Either<RequestId, RequestFingerprint>> requests = crash.requestsWith(part);
      if (common == null) {
        common = requests;
      } else {
        common.retainAll(requests);
      }
    }
    return common != null && !common.isEmpty();
  }

  /** Returns the number of requests with the part that are known to crash engines. */
  private long countBlamed(Set<Crash> crashes, Long part) {
    return crashes.stream()
        .flatMap(c -> c.requestsWith(part).stream())
        .flatMap(Either::toJavaStream)
        .filter(blamedRequests::containsKey)
        .distinct()
        .count();
  }

  private boolean isExplained(Crash crash, Long part) {
    List<Set<Long>> causes = verdicts.stream().filter(crash::involves).toList();
    return !causes.isEmpty() && causes.stream().noneMatch(v -> v.contains(part));
  }

  /** Returns the largest number of crashes of which each run started after the crash before. */
  private static int countIndependent(Map<Crash, Instant> crashes) {
    List<Map.Entry<Crash, Instant>> byNotice =
        crashes.entrySet().stream()
            .sorted(Comparator.comparing(e -> e.getKey().noticedAt))
            .toList();
    int count = 0;
    Instant last = Instant.MIN;
    for (Map.Entry<Crash, Instant> entry : byNotice) {
      if (!entry.getValue().isBefore(last)) {
        count++;
        last = entry.getKey().noticedAt;
      }
    }
    return count;
  }

  /** Returns by how many crashes a part exceeds its threshold, negative if it falls short. */
  private int excess(Long part) {
    Map<Crash, Instant> own = crashesOf(part);
    if (own.size() < CRASHES_FOR_VERDICT || isOfOneRequest(own.keySet(), part)) {
      return -1;
    }
    int threshold =
        soundParts.containsKey(part) ? CRASHES_FOR_VERDICT_ON_SOUND : CRASHES_FOR_VERDICT;
    long unexplained = countUnexplained(own.keySet());
    int extra = (int) Math.min(MAX_EXTRA_CRASHES, unexplained / UNEXPLAINED_PER_CRASH);
    return countIndependent(own) - threshold - extra;
  }

  private long countUnexplained(Set<Crash> own) {
    Instant first = own.stream().map(c -> c.noticedAt).min(Comparator.naturalOrder()).orElseThrow();
    Instant last = own.stream().map(c -> c.noticedAt).max(Comparator.naturalOrder()).orElseThrow();
    return crashes.stream()
        .filter(c -> !own.contains(c))
        .filter(c -> !c.noticedAt.isBefore(first.minus(COMMON_CAUSE_SPAN)))
        .filter(c -> !c.noticedAt.isAfter(last.plus(COMMON_CAUSE_SPAN)))
        .filter(c -> verdicts.stream().noneMatch(c::involves))
        .count();
  }

  /** Returns the new verdicts, and the known ones that the given crash confirms. */
  private List<Set<Long>> findVerdicts(Crash latest) {
    verdicts.removeIf(v -> !suspicions.keySet().containsAll(v));
    Map<Long, Integer> excesses = findExcesses();
    if (excesses.isEmpty()) {
      return List.of();
    }
    Map<Set<Long>, Integer> candidates = new LinkedHashMap<>();
    for (Crash crash : crashes) {
      for (Run run : crash.suspects) {
        Set<Long> over = new LinkedHashSet<>(run.parts);
        over.retainAll(excesses.keySet());
        if (!over.isEmpty()) {
          int least = over.stream().mapToInt(excesses::get).min().orElseThrow();
          candidates.put(Set.copyOf(over), least);
        }
      }
    }
    List<Set<Long>> reached =
        candidates.keySet().stream()
            .filter(c -> !isOutdone(c, candidates))
            .filter(c -> !verdicts.contains(c) || latest != null && latest.involves(c))
            .toList();
    reached.forEach(this::addVerdict);
    return reached;
  }

  /** Returns the parts that have reached their threshold, with the crashes beyond it. */
  private Map<Long, Integer> findExcesses() {
    Map<Long, Integer> excesses = new HashMap<>();
    suspicions.forEach(
        (part, suspicion) -> {
          int excess = suspicion.startedAt.size() < CRASHES_FOR_VERDICT ? -1 : excess(part);
          if (excess >= 0) {
            excesses.put(part, excess);
          }
        });
    return excesses;
  }

  /** Returns whether another candidate explains the crashes of this one better. */
  private boolean isOutdone(Set<Long> candidate, Map<Set<Long>, Integer> candidates) {
    Set<Crash> own = crashesWith(candidate);
    return candidates.keySet().stream()
        .filter(other -> !other.equals(candidate))
        .anyMatch(other -> isBetter(other, candidate, own, candidates.get(candidate)));
  }

  /**
   * Returns whether one candidate explains the crashes of another better. Of two that explain the
   * same crashes the one with more parts is better, since it refuses fewer prompts. If none
   * contains the other, one more crash is awaited, which may tell them apart.
   */
  private boolean isBetter(
      Set<Long> other, Set<Long> candidate, Set<Crash> crashesOfCandidate, int excess) {
    Set<Crash> crashesOfOther = crashesWith(other);
    if (!crashesOfOther.containsAll(crashesOfCandidate)) {
      return false;
    }
    if (crashesOfOther.size() > crashesOfCandidate.size()) {
      return true;
    }
    return other.containsAll(candidate) || !candidate.containsAll(other) && excess == 0;
  }

  private Set<Crash> crashesWith(Set<Long> parts) {
    return crashes.stream()
        .filter(c -> c.involves(parts))
        .collect(Collectors.toCollection(HashSet::new));
  }

  private void addVerdict(Set<Long> verdict) {
    verdicts.remove(verdict);
    verdicts.removeIf(v -> v.containsAll(verdict));
    verdicts.add(verdict);
    if (verdicts.size() > MAX_VERDICTS) {
      verdicts.remove(verdicts.iterator().next());
    }
  }
}
