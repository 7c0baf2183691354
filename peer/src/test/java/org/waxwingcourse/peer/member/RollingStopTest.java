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

/** Callers that follow the answers while every host is stopped and replaced, one after another. */
class RollingStopTest {
  private static final int HOSTS = 9;
  private static final int CALLERS = 40;
  private static final Duration STREAM = Duration.ofSeconds(20);
  private static final Duration NONE = Duration.ZERO;

  /** A stream that a caller has open on a host. */
  private record Stream(HostId host, Deadline end) {}

  /** What the callers met. */
  private record Result(int streams, int cut, int refused, int empty) {}

  @Test
  void rollingStopCutsAndRefusesNothing() {
    Result result = roll(StopSettings.DEFAULT, 0);
    assertThat(result.streams()).isGreaterThan(500);
    assertThat(result).isEqualTo(new Result(result.streams(), 0, 0, 0));
  }

  @Test
  void rollingStopCutsAndRefusesNothingWhileMessagesAreLost() {
    Result result = roll(StopSettings.DEFAULT, 0.2);
    assertThat(result).isEqualTo(new Result(result.streams(), 0, 0, 0));
  }

  @Test
  void withoutItsWaitsTheSameStopCutsAndRefuses() {
    StopSettings drained = StopSettings.DEFAULT;
    StopSettings hasty = new StopSettings(NONE, NONE, NONE, drained.drainLimit());
    assertThat(roll(hasty, 0).refused()).isPositive();
    StopSettings cutting =
        new StopSettings(
            drained.announceLimit(), drained.answerValidity(), drained.clockDrift(), NONE);
    assertThat(roll(cutting, 0).cut()).isPositive();
  }

  private static Result roll(StopSettings settings, double loss) {
    FakeFleet fleet = FakeFleet.converged(HOSTS, 21);
    fleet.loss = loss;
    Callers callers = new Callers(fleet);
    for (HostId host : fleet.names) {
      PlannedStop stop = PlannedStop.of(fleet.hosts.get(host), settings, fleet.clock);
      stop.waitFor(() -> callers.underway(host));
      callers.stops.put(host, stop);
      stop.begin();
      fleet.runUntil(
          Duration.ofMinutes(10),
          () -> {
            stop.tick();
            callers.step();
            return stop.phase() == Phase.STOPPED;
          });
      fleet.kill(host);
      callers.cut(host);
      callers.stops.remove(host);
      fleet.start(host);
      fleet.runUntil(
          Duration.ofSeconds(20),
          () -> {
            callers.step();
            return false;
          });
    }
    return new Result(callers.started, callers.cut, callers.refused, callers.empty);
  }

  /** Callers that keep an answer until it lapses and open a stream now and then. */
  private static final class Callers {
    final Map<HostId, PlannedStop> stops = new HashMap<>();
    int started;
    int cut;
    int refused;
    int empty;
    private final FakeFleet fleet;
    private final Random random = new Random(22);
    private final Map<Integer, HostAnswer> answers = new HashMap<>();
    private final List<Stream> streams = new ArrayList<>();

    Callers(FakeFleet fleet) {
      this.fleet = fleet;
    }

    int underway(HostId host) {
      return (int) streams.stream().filter(s -> s.host().equals(host)).count();
    }

    void cut(HostId host) {
      cut += underway(host);
      streams.removeIf(s -> s.host().equals(host));
    }

    void step() {
      Instant now = fleet.clock.instant();
      streams.removeIf(s -> s.end().isPast(now));
      int caller = random.nextInt(CALLERS);
      HostAnswer answer = answers.get(caller);
      if (answer == null || answer.validUntil().isPast(now)) {
        answer = ask(caller, answer);
        answers.put(caller, answer);
      }
      if (answer.hosts().isEmpty()) {
        empty++;
        return;
      }
      open(answer.hosts().get(random.nextInt(answer.hosts().size())).id(), now);
    }

    /** Asks a host of the last answer, or any that runs. */
    private HostAnswer ask(int caller, HostAnswer last) {
      List<HostId> known =
          last == null ? fleet.names : last.hosts().stream().map(Member::id).toList();
      List<HostId> running = known.stream().filter(fleet.hosts::containsKey).toList();
      List<HostId> asked = running.isEmpty() ? List.copyOf(fleet.hosts.keySet()) : running;
      HostId host = asked.get(random.nextInt(asked.size()));
      return HostAnswers.of(
              fleet.hosts.get(host), m -> false, 3, Duration.ofSeconds(10), fleet.clock, random)
          .answer(Option.some(OrganisationId.of("org-" + caller % 8)));
    }

    private void open(HostId host, Instant now) {
      started++;
      PlannedStop stop = stops.get(host);
      if (!fleet.hosts.containsKey(host) || (stop != null && !stop.takesRequests())) {
        refused++;
        return;
      }
      Duration length = Duration.ofMillis(random.nextLong(STREAM.toMillis()));
      streams.add(new Stream(host, Deadline.at(now.plus(length))));
    }
  }
}
