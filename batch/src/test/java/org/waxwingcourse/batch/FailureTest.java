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
  private final BatchSimulation simulation = new BatchSimulation(6);

  @Test
  void hostPausedPastItsLeaseNeitherSendsNorCommits() {
    simulation.engine.respondsImmediately = false;
    BatchSimulation.Host a = simulation.host("a");
    BatchSimulation.Host b = simulation.host("b");
    Job job = simulation.createJob(a, 2 * BatchSimulation.CHUNK_ITEMS, true);
    a.step();
    assertThat(simulation.engine.running).hasSize(8);
    simulation.advance(Duration.ofSeconds(119));
    int started = simulation.engine.startedItems;
    simulation.engine.completeRunning(4);
    assertThat(simulation.engine.startedItems).as("sent under an expired lease").isEqualTo(started);
    simulation.advance(Duration.ofSeconds(2));
    for (int i = 0; i < 40 && !b.jobs.find(job.id()).get().job().state().isFinal(); i++) {
      b.step();
      simulation.engine.completeRunning(50);
      simulation.advance(Duration.ofSeconds(5));
    }
    simulation.checkResults(b, job);
    a.step();
    simulation.checkResults(b, job);
    simulation.history.requireResults(2 * BatchSimulation.CHUNK_ITEMS);
  }

  @Test
  void failedOrHungItemEndsWithAnErrorAndDoesNotBlockOthers() {
    simulation.engine.respondsImmediately = false;
    simulation.engine.outcomes =
        item ->
            switch (item) {
              case "item-3" -> new Outcome.Failed(500, "engine crashed");
              case "item-9" -> null;
              case "item-11" -> new Outcome.Failed(400, "prompt too long");
              default -> new Outcome.Done();
            };
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 40, true);
    Job ended = simulation.runUntilEnded(a, job.id(), List.of(a));
    simulation.history.requireResults(40);
    assertThat(ended.counts()).isEqualTo(new Job.Counts(37, 3));
    assertThat(simulation.engine.runs).containsEntry("item-3", 3).containsEntry("item-9", 3);
    assertThat(simulation.engine.runs).containsEntry("item-11", 1).containsEntry("item-4", 1);
    assertThat(simulation.history.resultOf("item-3")).contains("engine crashed (3 tries)");
    assertThat(simulation.history.resultOf("item-9")).contains("no answer in time");
  }

  @Test
  void refusalDoesNotCountAsAttempt() {
    int[] calls = {0};
    simulation.engine.outcomes =
        item -> {
          calls[0]++;
          if (calls[0] <= 5) {
            return new Outcome.Refused(
                new Refusal(RefusalCode.OVERLOADED, "full", simulation.clock.instant()));
          }
          return calls[0] <= 7 ? new Outcome.Failed(500, "crashed") : new Outcome.Done();
        };
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 1, true);
    assertThat(simulation.runUntilEnded(a, job.id(), List.of(a)).counts())
        .isEqualTo(new Job.Counts(1, 0));
    assertThat(calls[0]).isEqualTo(8);
  }

  @Test
  void itemsNotRunByTheDeadlineEndWithAnError() {
    simulation.engine.respondsImmediately = false;
    BatchSimulation.Host a = simulation.host("a");
    BatchFile file = a.upload(BatchSimulation.inputLines(0, 40)).get();
    Job job = a.jobs.create(BatchSimulation.newJob(file, true, "20s", Optional.empty())).get();
    Job ended = simulation.runUntilEnded(a, job.id(), List.of(a));
    assertThat(ended.state()).isEqualTo(JobState.EXPIRED);
    simulation.history.requireResults(40);
    assertThat(ended.counts().failed()).isBetween(1, 39);
    assertThat(simulation.history.countContaining("batch_expired"))
        .isEqualTo(ended.counts().failed());
  }

  @Test
  void nonRepeatableItemIsSentOnceIfItsResponseIsLost() {
    simulation.engine.outcomes =
        item ->
            switch (item) {
              case "item-2" -> new Outcome.Unknown("connection reset");
              case "item-3" -> new Outcome.Failed(500, "engine crashed");
              default -> new Outcome.Done();
            };
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 10, false);
    Job ended = simulation.runUntilEnded(a, job.id(), List.of(a));
    assertThat(simulation.engine.runs.values()).hasSize(10).allMatch(n -> n == 1);
    assertThat(ended.counts()).isEqualTo(new Job.Counts(8, 2));
    assertThat(simulation.history.resultOf("item-2")).contains("outcome_unknown");
  }

  @Test
  void organisationOverItsRateLimitNeitherDelaysOthersNorLosesAttempts() {
    OrganisationId slow = OrganisationId.of("slow");
    boolean[] admitsSlow = {false};
    simulation.admission =
        o ->
            Option.when(
                o.equals(slow) && !admitsSlow[0],
                () ->
                    new Refusal(
                        RefusalCode.RATE_LIMITED,
                        "over the rate",
                        simulation.clock.instant().plusSeconds(20)));
    BatchSimulation.Host a = simulation.host("a");
    simulation.organisation = slow;
    Job waiting = simulation.createJob(a, 80, true);
    a.step();
    simulation.organisation = BatchSimulation.ORGANISATION;
    Job job = simulation.createJob(a, 80, true);
    assertThat(simulation.runUntilEnded(a, job.id(), List.of(a)).counts())
        .isEqualTo(new Job.Counts(80, 0));
    admitsSlow[0] = true;
    for (int i = 0; i < 100; i++) {
      simulation.advance(Duration.ofSeconds(5));
      a.step();
    }
    assertThat(a.jobs.find(waiting.id()).get().job().counts()).isEqualTo(new Job.Counts(80, 0));
  }

  @Test
  void plannedStopFinishesItemsInFlightAndKeepsKnownResults() {
    BatchSimulation.Host a = simulation.host("a");
    Job job = simulation.createJob(a, 100, false);
    BatchSimulation.Host b = simulation.host("b");
    BatchSimulation.Host leaving = simulation.host("leaving");
    leaving.runner.stopClaiming();
    leaving.step();
    assertThat(simulation.engine.startedItems).as("claimed by a stopping host").isZero();
    a.step();
    a.runner.stop();
    int started = simulation.engine.startedItems;
    assertThat(started).isBetween(1, 99);
    b.step();
    assertThat(simulation.engine.startedItems).as("continues immediately").isGreaterThan(started);
    Job ended = simulation.runUntilEnded(b, job.id(), List.of(b));
    assertThat(ended.counts()).isEqualTo(new Job.Counts(100, 0));
    assertThat(simulation.engine.runs.values()).allMatch(n -> n == 1);
  }

  @Test
  void writeWithLostResponseIsRecognisedAndNeverReportedAsNotSent() {
    BatchSimulation.Host a = simulation.host("a");
    Transaction write = Transaction.builder().requireAbsent("/k").put("/k", "mine").build();
    simulation.store.dropResponses(1);
    assertThat(a.storeClient.write(write, e -> e.text().equals("mine")))
        .isInstanceOf(WriteOutcome.Done.class);
    assertThat(a.storeClient.write(write, e -> e.text().equals("other")))
        .isInstanceOf(WriteOutcome.Lost.class);
    BatchSimulation.Host b = simulation.host("b");
    b.hostStore.pauseInsteadOfCrashing(
        2,
        () -> simulation.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING)));
    simulation.store.dropResponses(1);
    Transaction second = Transaction.builder().requireAbsent("/l").put("/l", "mine").build();
    assertThat(b.storeClient.write(second, e -> false)).isInstanceOf(WriteOutcome.Unknown.class);
  }

  @ParameterizedTest
  @ValueSource(strings = {"REFUSING", "SILENT"})
  void heldWorkContinuesDuringAnOutageAndRecoveryCausesNoBurst(String kind) {
    simulation.engine.respondsImmediately = false;
    List<BatchSimulation.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      hosts.add(
          simulation
          .new Host("host-" + i, BatchSimulation.NO_CRASH, false, BatchSimulation.settings(4)));
    }
    BatchSimulation.Host first = hosts.get(0);
    BatchFile file = first.upload(BatchSimulation.inputLines(0, 400)).get();
    Job job = first.jobs.create(BatchSimulation.newJob(file, true)).get();
    hosts.forEach(BatchSimulation.Host::step);
    int started = simulation.engine.startedItems;
    simulation.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.valueOf(kind)));
    Either<Outcome, Job> refused =
        first.jobs.create(BatchSimulation.newJob(file, true, "2h", Optional.empty()));
    long before = simulation.store.counts().total();
    for (int i = 0; i < 60; i++) {
      simulation.advance(Duration.ofSeconds(5));
      hosts.forEach(BatchSimulation.Host::step);
      simulation.engine.completeRunning(400);
    }
    assertThat(simulation.engine.startedItems).as("held work continues").isGreaterThan(started);
    double callsPerHostSecond = (simulation.store.counts().total() - before) / (20 * 300.0);
    assertThat(callsPerHostSecond).as("calls during the outage").isLessThan(1);
    simulation.store.setFaults(StoreFaults.NONE);
    before = simulation.store.counts().total();
    int immediateCallers = 0;
    for (BatchSimulation.Host host : hosts) {
      long calls = simulation.store.counts().total();
      host.step();
      immediateCallers += simulation.store.counts().total() > calls ? 1 : 0;
    }
    assertThat(immediateCallers).as("hosts that call immediately").isLessThan(15);
    simulation.engine.respondsImmediately = true;
    simulation.engine.completeRunning(400);
    simulation.runUntilEnded(first, job.id(), hosts);
    simulation.history.requireResults(400);
    assertThat(simulation.engine.repeatedRuns()).as("run again after the outage").isLessThan(40);
    if (kind.equals("REFUSING")) {
      Outcome.Refused notRun = (Outcome.Refused) refused.getLeft();
      assertThat(notRun.refusal().code()).isEqualTo(RefusalCode.UNAVAILABLE);
      assertThat(notRun.refusal().retryAt()).isNotNull();
    }
    assertThat(first.jobs.list(BatchSimulation.ORGANISATION).get()).hasSize(1);
    System.out.printf(
        "outage %s: %.2f calls per host and second, %d of 20 hosts call at once, %d run again%n",
        kind, callsPerHostSecond, immediateCallers, simulation.engine.repeatedRuns());
  }

  @Test
  void repeatedRequestReturnsTheSameJobAndReusedKeyIsRejected() {
    BatchSimulation.Host a = simulation.host("a");
    BatchSimulation.Host b = simulation.host("b");
    BatchFile file = a.upload(BatchSimulation.inputLines(0, 10)).get();
    Job job = a.jobs.create(BatchSimulation.newJob(file, true, "24h", Optional.empty())).get();
    Job again = b.jobs.create(BatchSimulation.newJob(file, true, "24h", Optional.empty())).get();
    assertThat(again).isEqualTo(job);
    Job other = b.jobs.create(BatchSimulation.newJob(file, true, "24h", Optional.of("k"))).get();
    assertThat(other.id()).isNotEqualTo(job.id());
    assertThat(
            a.jobs
                .create(BatchSimulation.newJob(file, true, "1h", Optional.of("k")))
                .getLeft()
                .toString())
        .contains("other parameters");
    simulation.store.dropResponses(1);
    BatchFile second = a.upload(BatchSimulation.inputLines(20, 30)).get();
    simulation.store.dropResponses(4);
    assertThat(a.jobs.create(BatchSimulation.newJob(second, true, "3h", Optional.empty())).isLeft())
        .isTrue();
    assertThat(
            b.jobs.create(BatchSimulation.newJob(second, true, "3h", Optional.empty())).isRight())
        .isTrue();
    assertThat(a.jobs.list(BatchSimulation.ORGANISATION).get()).hasSize(3);
  }

  @Test
  void resultsOverOneMegabyteAreStoredInPartsAndReadWhole() {
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
    BatchSimulation.Host a = simulation.new Host("a", BatchSimulation.NO_CRASH, false, large);
    java.util.Random noise = new java.util.Random(3);
    simulation.engine.responseText =
        () ->
            noise
                .ints(400_000, 33, 126)
                .filter(c -> c != '"' && c != '\\')
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    Job job = simulation.createJob(a, 8, true);
    Job ended = simulation.runUntilEnded(a, job.id(), List.of(a));
    simulation.history.requireResults(8);
    assertThat(ended.counts()).isEqualTo(new Job.Counts(7, 1));
    assertThat(
            simulation.store.readDirectly(KeyRange.ofPrefix("/waxwing/batch/results/")).entries())
        .hasSizeGreaterThan(3);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void invalidInputIsRejectedWithItsLineNumberAndNoFileIsStored(int kind) {
    BatchSimulation.Host a = simulation.host("a");
    String good = BatchSimulation.inputLines(0, 20);
    String model = "organ-scribe";
    String bad =
        switch (kind) {
          case 1 -> "{\"custom_id\":";
          case 2 -> BatchSimulation.inputLine("item-7", model);
          case 3 -> BatchSimulation.inputLine("item-99", "no-such-model");
          case 4 -> BatchSimulation.inputLine("item-99", model).replace("/v1/chat", "/v1/other");
          case 5 -> BatchSimulation.inputLine("", model);
          case 6 ->
              BatchSimulation.inputLine("item-99", model)
                  .replace("item-99\"}", "x".repeat(5000) + "\"}");
          case 7 -> BatchSimulation.inputLine("item-99", model) + " {}";
          default -> BatchSimulation.inputLine("item-99", model).replace("POST", "GET");
        };
    Outcome.Refused refused = (Outcome.Refused) a.upload(good + bad + "\n" + good).getLeft();
    assertThat(refused.refusal().code()).isEqualTo(RefusalCode.INVALID_REQUEST);
    assertThat(refused.refusal().message()).startsWith("line 21: ");
    assertThat(simulation.store.readDirectly(KeyRange.ofPrefix("/waxwing/batch/files/")).entries())
        .noneMatch(e -> e.key().endsWith("/meta"));
  }
}
