package org.waxwingcourse.fleet.slot;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.UpstreamId;

/** A way to find the prompt parts under which engines crash, as {@link BlameSimulation} runs it. */
interface BlameMethod {
  /** Ends within this time on one engine are one crash. */
  Duration ONE_CRASH = Duration.ofMillis(1000);

  void recordStart(RunId run, UpstreamId engine, List<Long> parts, Instant now);

  List<Set<Long>> recordEnd(RunId run, RunEnd end, Instant now);

  List<Set<Long>> update(Instant now);

  void removeHost(HostId host);

  /** Removes a run whose end was not received. */
  void forgetRun(RunId run);

  void removeEngine(UpstreamId engine);

  boolean isSuspect(List<Long> parts);

  /** Returns the method of the product. */
  static BlameMethod product() {
    return new BlameMethod() {
      private final CrashBlame blame = new CrashBlame();
      private final Map<RunId, UpstreamId> engines = new HashMap<>();

      @Override
      public void recordStart(RunId run, UpstreamId engine, List<Long> parts, Instant now) {
        engines.put(run, engine);
        long own = parts.get(parts.size() - 1);
        RequestFingerprint request = new RequestFingerprint(own, own, 1);
        blame.recordStart(run, engine, parts, Either.right(request), now);
      }

      @Override
      public List<Set<Long>> recordEnd(RunId run, RunEnd end, Instant now) {
        // Each engine of the simulation is one process.
        return blame.recordEnd(run, end, engines.remove(run).value().hashCode(), now);
      }

      @Override
      public List<Set<Long>> update(Instant now) {
        return blame.update(now);
      }

      @Override
      public void removeHost(HostId host) {
        blame.removeHost(host);
      }

      @Override
      public void forgetRun(RunId run) {
        blame.forgetRun(run);
      }

      @Override
      public void removeEngine(UpstreamId engine) {
        blame.removeEngine(engine);
      }

      @Override
      public boolean isSuspect(List<Long> parts) {
        return blame.isSuspect(parts);
      }
    };
  }

  /** Base of the simpler methods: it follows the runs and tells crashes by their first end. */
  abstract class Simple implements BlameMethod {
    private record Started(UpstreamId engine, List<Long> parts) {}

    private final Map<RunId, Started> runs = new HashMap<>();
    private final Map<UpstreamId, Instant> crashes = new HashMap<>();

    /** Handles a run that its engine broke off before the first event. */
    abstract List<Set<Long>> onBroken(List<Long> parts, UpstreamId engine, boolean newCrash);

    abstract void onEvent(List<Long> parts);

    @Override
    public final void recordStart(RunId run, UpstreamId engine, List<Long> parts, Instant now) {
      runs.put(run, new Started(engine, parts.subList(0, parts.size() - 1)));
    }

    @Override
    public final List<Set<Long>> recordEnd(RunId run, RunEnd end, Instant now) {
      Started started = runs.remove(run);
      if (started == null) {
        return List.of();
      }
      if (!end.firstEventDelay().isZero()) {
        onEvent(started.parts);
      } else if (end.how() == RunEnd.How.ENGINE_BROKE_OFF) {
        Instant last = crashes.get(started.engine);
        boolean newCrash = last == null || last.plus(ONE_CRASH).isBefore(now);
        if (newCrash) {
          crashes.put(started.engine, now);
        }
        return onBroken(started.parts, started.engine, newCrash);
      }
      return List.of();
    }

    @Override
    public final List<Set<Long>> update(Instant now) {
      return List.of();
    }

    @Override
    public final void removeHost(HostId host) {
      runs.keySet().removeIf(r -> r.host().equals(host));
    }

    @Override
    public final void forgetRun(RunId run) {
      runs.remove(run);
    }

    @Override
    public final void removeEngine(UpstreamId engine) {
      runs.values().removeIf(s -> s.engine.equals(engine));
    }
  }

  /** Never blames a part. */
  final class Nothing extends Simple {
    @Override
    List<Set<Long>> onBroken(List<Long> parts, UpstreamId engine, boolean newCrash) {
      return List.of();
    }

    @Override
    void onEvent(List<Long> parts) {}

    @Override
    public boolean isSuspect(List<Long> parts) {
      return false;
    }
  }

  /** Counts the crashes of each part; a run with an event takes some off the count. */
  final class Count extends Simple {
    private final int threshold;
    private final double offForEvent;
    private final Map<Long, Double> counts = new HashMap<>();
    private final Map<Long, Set<UpstreamId>> counted = new HashMap<>();

    Count(int threshold, double offForEvent) {
      this.threshold = threshold;
      this.offForEvent = offForEvent;
    }

    @Override
    List<Set<Long>> onBroken(List<Long> parts, UpstreamId engine, boolean newCrash) {
      List<Set<Long>> reached = new ArrayList<>();
      for (Long part : parts) {
        Set<UpstreamId> engines = counted.computeIfAbsent(part, p -> new HashSet<>());
        if (newCrash) {
          engines.remove(engine);
        }
        if (engines.add(engine) && counts.merge(part, 1.0, Double::sum) >= threshold) {
          reached.add(Set.of(part));
        }
      }
      return reached;
    }

    @Override
    void onEvent(List<Long> parts) {
      if (offForEvent > 0) {
        parts.forEach(p -> counts.computeIfPresent(p, (k, n) -> Math.max(0, n - offForEvent)));
      }
    }

    @Override
    public boolean isSuspect(List<Long> parts) {
      return parts.subList(0, parts.size() - 1).stream()
          .anyMatch(p -> counts.getOrDefault(p, 0.0) > 0);
    }
  }

  /** Intersects the parts of all crashes, without those of runs with an event. */
  final class Intersection extends Simple {
    private final Set<Long> sound = new HashSet<>();
    private final Set<Long> ofCrash = new HashSet<>();
    private Set<Long> common = Set.of();
    private int crashes;

    @Override
    List<Set<Long>> onBroken(List<Long> parts, UpstreamId engine, boolean newCrash) {
      if (newCrash) {
        Set<Long> left = intersect();
        common = left.isEmpty() ? Set.copyOf(ofCrash) : left;
        crashes = left.isEmpty() ? 1 : crashes + 1;
        ofCrash.clear();
      }
      ofCrash.addAll(parts);
      Set<Long> left = intersect();
      return crashes >= 2 && !left.isEmpty()
          ? left.stream().filter(parts::contains).map(Set::of).toList()
          : List.of();
    }

    private Set<Long> intersect() {
      Set<Long> left = new HashSet<>(crashes == 0 ? ofCrash : common);
      left.retainAll(ofCrash);
      left.removeAll(sound);
      return left;
    }

    @Override
    void onEvent(List<Long> parts) {
      sound.addAll(parts);
    }

    @Override
    public boolean isSuspect(List<Long> parts) {
      return parts.subList(0, parts.size() - 1).stream()
          .anyMatch(p -> !sound.contains(p) && (common.contains(p) || ofCrash.contains(p)));
    }
  }
}
