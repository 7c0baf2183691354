package org.waxwingcourse.peer.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.hosts.HostAnswer;
import org.waxwingcourse.policy.hosts.HostAnswers;
import org.waxwingcourse.policy.hosts.PlannedStop;
import org.waxwingcourse.policy.hosts.PlannedStop.Phase;
import org.waxwingcourse.policy.hosts.StopSettings;

/**
 * Simulates callers that choose their hosts from host answers while every host is stopped and
 * replaced, one after another.
 */
class RollingStopTest {
  private static final int HOSTS = 9;
  private static final int CALLERS = 40;
  private static final Duration MAX_STREAM_DURATION = Duration.ofSeconds(20);
  private static final Duration NO_WAIT = Duration.ZERO;

  /** An open stream of a caller on a host. */
  private record Stream(HostId host, Deadline end) {}

  /** The counts over all callers. */
  private record Result(int streams, int interrupted, int refused, int emptyAnswers) {}

  @Test
  void rollingStopInterruptsAndRefusesNoStream() {
    Result result = stopAndReplaceEveryHost(StopSettings.DEFAULT, 0);
    assertThat(result.streams()).isGreaterThan(500);
    assertThat(result).isEqualTo(new Result(result.streams(), 0, 0, 0));
  }

  @Test
  void rollingStopInterruptsAndRefusesNoStreamUnderMessageLoss() {
    Result result = stopAndReplaceEveryHost(StopSettings.DEFAULT, 0.2);
    assertThat(result).isEqualTo(new Result(result.streams(), 0, 0, 0));
  }

  @Test
  void rollingStopWithoutWaitsInterruptsAndRefusesStreams() {
    StopSettings defaults = StopSettings.DEFAULT;
    StopSettings withoutAnnouncement =
        new StopSettings(NO_WAIT, NO_WAIT, NO_WAIT, defaults.drainLimit());
    assertThat(stopAndReplaceEveryHost(withoutAnnouncement, 0).refused()).isPositive();
    StopSettings withoutDrain =
        new StopSettings(
            defaults.announceLimit(), defaults.answerValidity(), defaults.clockDrift(), NO_WAIT);
    assertThat(stopAndReplaceEveryHost(withoutDrain, 0).interrupted()).isPositive();
  }

  private static Result stopAndReplaceEveryHost(StopSettings settings, double loss) {
    SimulatedFleet fleet = SimulatedFleet.converged(HOSTS, 21);
    fleet.lossProbability = loss;
    Callers callers = new Callers(fleet);
    for (HostId host : fleet.hostIds) {
      PlannedStop stop = PlannedStop.of(fleet.hosts.get(host), settings, fleet.clock);
      stop.waitFor(() -> callers.openStreams(host));
      callers.stops.put(host, stop);
      stop.begin();
      fleet.runUntil(
          Duration.ofMinutes(10),
          () -> {
            stop.tick();
            callers.step();
            return stop.phase() == Phase.STOPPED;
          });
      fleet.terminate(host);
      callers.interruptStreams(host);
      callers.stops.remove(host);
      fleet.start(host);
      fleet.runUntil(
          Duration.ofSeconds(20),
          () -> {
            callers.step();
            return false;
          });
    }
    return new Result(callers.started, callers.interrupted, callers.refused, callers.emptyAnswers);
  }

  /** Callers that keep a host answer until it expires and open one stream per step between them. */
  private static final class Callers {
    final Map<HostId, PlannedStop> stops = new HashMap<>();
    int started;
    int interrupted;
    int refused;
    int emptyAnswers;
    private final SimulatedFleet fleet;
    private final Random random = new Random(22);
    private final Map<Integer, HostAnswer> answers = new HashMap<>();
    private final List<Stream> streams = new ArrayList<>();

    Callers(SimulatedFleet fleet) {
      this.fleet = fleet;
    }

    int openStreams(HostId host) {
      return (int) streams.stream().filter(s -> s.host().equals(host)).count();
    }

    void interruptStreams(HostId host) {
      interrupted += openStreams(host);
      streams.removeIf(s -> s.host().equals(host));
    }

    void step() {
      Instant now = fleet.clock.instant();
      streams.removeIf(s -> s.end().isPast(now));
      int caller = random.nextInt(CALLERS);
      HostAnswer answer = answers.get(caller);
      if (answer == null || answer.validUntil().isPast(now)) {
        answer = requestHosts(caller, answer);
        answers.put(caller, answer);
      }
      if (answer.hosts().isEmpty()) {
        emptyAnswers++;
        return;
      }
      openStream(answer.hosts().get(random.nextInt(answer.hosts().size())).id(), now);
    }

    /** Asks a running host of the last answer, or any running host if none of them runs. */
    private HostAnswer requestHosts(int caller, HostAnswer last) {
      List<HostId> known =
          last == null ? fleet.hostIds : last.hosts().stream().map(Member::id).toList();
      List<HostId> running = known.stream().filter(fleet.hosts::containsKey).toList();
      List<HostId> asked = running.isEmpty() ? List.copyOf(fleet.hosts.keySet()) : running;
      HostId host = asked.get(random.nextInt(asked.size()));
      return HostAnswers.of(
              fleet.hosts.get(host), m -> false, 3, Duration.ofSeconds(10), fleet.clock, random)
          .answer(Option.some(OrganisationId.of("org-" + caller % 8)));
    }

    private void openStream(HostId host, Instant now) {
      started++;
      PlannedStop stop = stops.get(host);
      if (!fleet.hosts.containsKey(host) || (stop != null && !stop.takesRequests())) {
        refused++;
        return;
      }
      Duration length = Duration.ofMillis(random.nextLong(MAX_STREAM_DURATION.toMillis()));
      streams.add(new Stream(host, Deadline.at(now.plus(length))));
    }
  }
}
