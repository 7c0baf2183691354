package org.waxwingcourse.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.JobState;
import org.waxwingcourse.batch.run.RunSettings;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

class FailureTest {
  private final World world = new World(6);

  @Test
  void holderThatWasPausedPastItsLeaseSendsAndCommitsNothing() {
    world.engine.answersAtOnce = false;
    World.Host a = world.host("a");
    World.Host b = world.host("b");
    Job job = world.accepted(a, 2 * World.CHUNK_ITEMS, true);
    a.step();
    assertThat(world.engine.running).hasSize(8);
    world.advance(Duration.ofSeconds(119));
    int started = world.engine.started;
    world.engine.answerWaiting(4);
    assertThat(world.engine.started).as("sent under a lapsed lease").isEqualTo(started);
    world.advance(Duration.ofSeconds(2));
    for (int i = 0; i < 40 && !b.jobs.find(job.id()).get().job().state().ended(); i++) {
      b.step();
      world.engine.answerWaiting(50);
      world.advance(Duration.ofSeconds(5));
    }
    world.observe(b, job);
    a.step();
    world.observe(b, job);
    world.history.complete(2 * World.CHUNK_ITEMS);
  }

  @Test
  void itemThatFailsOrHangsGetsItsErrorAndHoldsNothingUp() {
    world.engine.answersAtOnce = false;
    world.engine.script =
        item ->
            switch (item) {
              case "item-3" -> new Outcome.Failed(500, "engine fell over");
              case "item-9" -> null;
              case "item-11" -> new Outcome.Failed(400, "prompt too long");
              default -> new Outcome.Done();
            };
    World.Host a = world.host("a");
    Job job = world.accepted(a, 40, true);
    Job ended = world.finish(a, job.id(), List.of(a));
    world.history.complete(40);
    assertThat(ended.counts()).isEqualTo(new Job.Counts(37, 3));
    assertThat(world.engine.runs).containsEntry("item-3", 3).containsEntry("item-9", 3);
    assertThat(world.engine.runs).containsEntry("item-11", 1).containsEntry("item-4", 1);
    assertThat(world.history.of("item-3")).contains("engine fell over (3 tries)");
    assertThat(world.history.of("item-9")).contains("no answer in time");
  }

  @Test
  void refusalThatWasNotRunIsNoTry() {
    int[] calls = {0};
    world.engine.script =
        item -> {
          calls[0]++;
          if (calls[0] <= 5) {
            return new Outcome.Refused(
                new Refusal(RefusalCode.OVERLOADED, "full", world.clock.instant()));
          }
          return calls[0] <= 7 ? new Outcome.Failed(500, "fell over") : new Outcome.Done();
        };
    World.Host a = world.host("a");
    Job job = world.accepted(a, 1, true);
    assertThat(world.finish(a, job.id(), List.of(a)).counts()).isEqualTo(new Job.Counts(1, 0));
    assertThat(calls[0]).isEqualTo(8);
  }

  @Test
  void deadlineGivesEachItemThatDidNotRunItsOwnError() {
    world.engine.answersAtOnce = false;
    World.Host a = world.host("a");
    BatchFile file = a.upload(World.lines(0, 40)).get();
    Job job = a.jobs.create(World.newJob(file, true, "20s", Optional.empty())).get();
    Job ended = world.finish(a, job.id(), List.of(a));
    assertThat(ended.state()).isEqualTo(JobState.EXPIRED);
    world.history.complete(40);
    assertThat(ended.counts().failed()).isBetween(1, 39);
    assertThat(world.history.countOf("batch_expired")).isEqualTo(ended.counts().failed());
  }

  @Test
  void itemThatMayNotBeRepeatedIsSentOnceThoughItsAnswerIsLost() {
    world.engine.script =
        item ->
            switch (item) {
              case "item-2" -> new Outcome.Unknown("connection reset");
              case "item-3" -> new Outcome.Failed(500, "engine fell over");
              default -> new Outcome.Done();
            };
    World.Host a = world.host("a");
    Job job = world.accepted(a, 10, false);
    Job ended = world.finish(a, job.id(), List.of(a));
    assertThat(world.engine.runs.values()).hasSize(10).allMatch(n -> n == 1);
    assertThat(ended.counts()).isEqualTo(new Job.Counts(8, 2));
    assertThat(world.history.of("item-2")).contains("outcome_unknown");
  }

  @Test
  void organisationOverItsRateKeepsNoOtherWaitingAndLosesNoTries() {
    OrganisationId slow = OrganisationId.of("slow");
    boolean[] open = {false};
    world.admission =
        o ->
            Option.when(
                o.equals(slow) && !open[0],
                () ->
                    new Refusal(
                        RefusalCode.RATE_LIMITED,
                        "over the rate",
                        world.clock.instant().plusSeconds(20)));
    World.Host a = world.host("a");
    world.organisation = slow;
    Job waiting = world.accepted(a, 80, true);
    a.step();
    world.organisation = World.ORGANISATION;
    Job job = world.accepted(a, 80, true);
    assertThat(world.finish(a, job.id(), List.of(a)).counts()).isEqualTo(new Job.Counts(80, 0));
    open[0] = true;
    for (int i = 0; i < 100; i++) {
      world.advance(Duration.ofSeconds(5));
      a.step();
    }
    assertThat(a.jobs.find(waiting.id()).get().job().counts()).isEqualTo(new Job.Counts(80, 0));
  }

  @Test
  void plannedStopCutsNoItemAndHandsOverWhatIsKnown() {
    World.Host a = world.host("a");
    Job job = world.accepted(a, 100, false);
    World.Host b = world.host("b");
    World.Host leaving = world.host("leaving");
    leaving.runner.refuseClaims();
    leaving.step();
    assertThat(world.engine.started).as("claimed while leaving").isZero();
    a.step();
    a.runner.stop();
    int started = world.engine.started;
    assertThat(started).isBetween(1, 99);
    b.step();
    assertThat(world.engine.started).as("goes on at once").isGreaterThan(started);
    Job ended = world.finish(b, job.id(), List.of(b));
    assertThat(ended.counts()).isEqualTo(new Job.Counts(100, 0));
    assertThat(world.engine.runs.values()).allMatch(n -> n == 1);
  }

  @Test
  void writeWhoseAnswerWasLostIsKnownAgainAndNeverCalledNotSent() {
    World.Host a = world.host("a");
    Transaction write = Transaction.builder().absent("/k").put("/k", "mine").build();
    world.store.loseAnswers(1);
    assertThat(a.calls.write(write, e -> e.text().equals("mine")))
        .isInstanceOf(WriteOutcome.Done.class);
    assertThat(a.calls.write(write, e -> e.text().equals("other")))
        .isInstanceOf(WriteOutcome.Lost.class);
    World.Host b = world.host("b");
    b.way.pausingFor(
        2, () -> world.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING)));
    world.store.loseAnswers(1);
    Transaction second = Transaction.builder().absent("/l").put("/l", "mine").build();
    assertThat(b.calls.write(second, e -> false)).isInstanceOf(WriteOutcome.Unknown.class);
  }

  @ParameterizedTest
  @ValueSource(strings = {"REFUSING", "SILENT"})
  void heldWorkGoesOnInAnOutageAndAllIsCaughtUpWithoutBurst(String kind) {
    world.engine.answersAtOnce = false;
    List<World.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      hosts.add(world.new Host("host-" + i, World.NEVER, false, World.settings(4)));
    }
    World.Host first = hosts.get(0);
    BatchFile file = first.upload(World.lines(0, 400)).get();
    Job job = first.jobs.create(World.newJob(file, true)).get();
    hosts.forEach(World.Host::step);
    int started = world.engine.started;
    world.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.valueOf(kind)));
    Either<Outcome, Job> refused =
        first.jobs.create(World.newJob(file, true, "2h", Optional.empty()));
    long before = world.store.counts().total();
    for (int i = 0; i < 60; i++) {
      world.advance(Duration.ofSeconds(5));
      hosts.forEach(World.Host::step);
      world.engine.answerWaiting(400);
    }
    assertThat(world.engine.started).as("held work goes on").isGreaterThan(started);
    double callsPerHostSecond = (world.store.counts().total() - before) / (20 * 300.0);
    assertThat(callsPerHostSecond).as("calls in the outage").isLessThan(1);
    world.store.setFaults(StoreFaults.NONE);
    before = world.store.counts().total();
    int early = 0;
    for (World.Host host : hosts) {
      long calls = world.store.counts().total();
      host.step();
      early += world.store.counts().total() > calls ? 1 : 0;
    }
    assertThat(early).as("hosts that call at once").isLessThan(15);
    world.engine.answersAtOnce = true;
    world.engine.answerWaiting(400);
    world.finish(first, job.id(), hosts);
    world.history.complete(400);
    assertThat(world.engine.runsAgain()).as("run again after the outage").isLessThan(40);
    if (kind.equals("REFUSING")) {
      Outcome.Refused notRun = (Outcome.Refused) refused.getLeft();
      assertThat(notRun.refusal().code()).isEqualTo(RefusalCode.UNAVAILABLE);
      assertThat(notRun.refusal().retryAt()).isNotNull();
    }
    assertThat(first.jobs.list(World.ORGANISATION).get()).hasSize(1);
    System.out.printf(
        "outage %s: %.2f calls a host and second, %d of 20 hosts call at once, %d run again%n",
        kind, callsPerHostSecond, early, world.engine.runsAgain());
  }

  @Test
  void sameJobSentAgainIsTheSameAndAnotherUnderTheSameKeyIsRefused() {
    World.Host a = world.host("a");
    World.Host b = world.host("b");
    BatchFile file = a.upload(World.lines(0, 10)).get();
    Job job = a.jobs.create(World.newJob(file, true, "24h", Optional.empty())).get();
    Job again = b.jobs.create(World.newJob(file, true, "24h", Optional.empty())).get();
    assertThat(again).isEqualTo(job);
    Job other = b.jobs.create(World.newJob(file, true, "24h", Optional.of("k"))).get();
    assertThat(other.id()).isNotEqualTo(job.id());
    assertThat(a.jobs.create(World.newJob(file, true, "1h", Optional.of("k"))).getLeft().toString())
        .contains("other parameters");
    world.store.loseAnswers(1);
    BatchFile second = a.upload(World.lines(20, 30)).get();
    world.store.loseAnswers(4);
    assertThat(a.jobs.create(World.newJob(second, true, "3h", Optional.empty())).isLeft()).isTrue();
    assertThat(b.jobs.create(World.newJob(second, true, "3h", Optional.empty())).isRight())
        .isTrue();
    assertThat(a.jobs.list(World.ORGANISATION).get()).hasSize(3);
  }

  @Test
  void answersOverAMegabyteAreStoredInPartsAndReadWhole() {
    RunSettings large =
        new RunSettings(
            2,
            8,
            Duration.ofSeconds(120),
            Duration.ofSeconds(30),
            Duration.ofSeconds(60),
            1_000_000,
            3_000_000,
            4);
    World.Host a = world.new Host("a", World.NEVER, false, large);
    java.util.Random noise = new java.util.Random(3);
    world.engine.text =
        () ->
            noise
                .ints(400_000, 33, 126)
                .filter(c -> c != '"' && c != '\\')
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    Job job = world.accepted(a, 8, true);
    Job ended = world.finish(a, job.id(), List.of(a));
    world.history.complete(8);
    assertThat(ended.counts()).isEqualTo(new Job.Counts(7, 1));
    assertThat(world.store.peek(KeyRange.ofPrefix("/waxwing/batch/results/")).entries())
        .hasSizeGreaterThan(3);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void badInputIsRefusedWithItsLineAndNothingIsAccepted(int kind) {
    World.Host a = world.host("a");
    String good = World.lines(0, 20);
    String model = "organ-scribe";
    String bad =
        switch (kind) {
          case 1 -> "{\"custom_id\":";
          case 2 -> World.line("item-7", model);
          case 3 -> World.line("item-99", "no-such-model");
          case 4 -> World.line("item-99", model).replace("/v1/chat", "/v1/other");
          case 5 -> World.line("", model);
          case 6 -> World.line("item-99", model).replace("item-99\"}", "x".repeat(5000) + "\"}");
          case 7 -> World.line("item-99", model) + " {}";
          default -> World.line("item-99", model).replace("POST", "GET");
        };
    Outcome.Refused refused = (Outcome.Refused) a.upload(good + bad + "\n" + good).getLeft();
    assertThat(refused.refusal().code()).isEqualTo(RefusalCode.INVALID_REQUEST);
    assertThat(refused.refusal().message()).startsWith("line 21: ");
    assertThat(world.store.peek(KeyRange.ofPrefix("/waxwing/batch/files/")).entries())
        .noneMatch(e -> e.key().endsWith("/meta"));
  }
}
