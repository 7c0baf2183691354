package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobAnnounced;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;
import org.waxwingcourse.wire.fleet.JobResults;

/**
 * A host's process asks another host about a job and ends. The answer comes late and reaches the
 * next process of the host, which is waiting for an answer about another job.
 */
class AnswerToEarlierProcessTest {
  private static final HostId ASKING = HostId.of("asking");
  private static final HostId OTHER = HostId.of("other");
  private static final JobId PARISH_JOB = JobId.of("job-of-parish");
  private static final JobId GUILD_JOB = JobId.of("job-of-guild");
  private static final OrganisationId PARISH = OrganisationId.of("parish");
  private static final OrganisationId GUILD = OrganisationId.of("guild");
  private static final Duration WITHIN_ANSWER_TIME = Duration.ofMillis(100);
  private static final Duration CLOSE_REPETITION = Duration.ofMillis(350);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore store = MemoryStore.of(clock);

  /** Messages to the other host, which is suspended until they are delivered. */
  private final List<FleetMessage> toOther = new ArrayList<>();

  private final List<FleetMessage> toAsking = new ArrayList<>();
  private final JobService other = start(OTHER, 1, store, toAsking);

  @BeforeEach
  void storeFinishedJobs() {
    storeFinishedJob(PARISH_JOB, PARISH);
    storeFinishedJob(GUILD_JOB, GUILD);
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private JobService start(HostId host, long boot, MemoryStore hostStore, List<FleetMessage> sent) {
    StoreView view = StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
    view.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    view.evidence().recordPeerProof(clocks.now());
    view.hostTable()
        .replaceFromRead(new Snapshot(Revision.of(2), List.of(entry(ASKING), entry(OTHER))));
    SlotClient slots =
        new SlotClient(FleetFixtures.droppingPeers(), clock, FleetFixtures.DATA_CENTRE, List::of);
    slots.attachTo(OTHER);
    return new JobService(
        host,
        boot,
        new JobService.Ports(
            hostStore,
            new HostEntryRegistration(
                FleetFixtures.host(host, boot), hostStore, view, clocks, timer, new SecureRandom()),
            FleetFixtures.recordingPeers((to, message) -> sent.add(message)),
            clock,
            clock,
            timer,
            new Random(1),
            view,
            new EngineDirectory(view.engineTable(), e -> Option.none()),
            (request, listener) -> () -> {},
            slots,
            headers -> List.of(),
            headers -> RequestSize.UNKNOWN));
  }

  private static Entry entry(HostId host) {
    Revision created = Revision.of(1);
    return new Entry(
        StoreKeys.hostKey(host, 1),
        FleetFixtures.host(host, 1).encode(),
        created,
        created,
        LeaseId.NONE);
  }

  private void storeFinishedJob(JobId job, OrganisationId organisation) {
    JobRecord record = record(organisation).toBuilder().addListed(0).addResultParts(1).build();
    JobResult result =
        JobResult.newBuilder()
            .setItem("item-of-" + job.value())
            .setCompleted(true)
            .setText("text for " + organisation.value())
            .build();
    store
        .write(
            Transaction.builder()
                .put(StoreKeys.jobKey(job), record.toByteArray())
                .put(
                    StoreKeys.resultsKey(job, 0),
                    JobResults.newBuilder().addResults(result).build().toByteArray())
                .build())
        .join();
  }

  private static JobRecord record(OrganisationId organisation) {
    return JobRecord.newBuilder()
        .setOrganisation(organisation.value())
        .setRunner(OTHER.value())
        .setRunnerBoot(1)
        .addItemTokens(10)
        .build();
  }

  private void storeRunningJob(JobId job, OrganisationId organisation) {
    store
        .write(
            Transaction.builder()
                .put(StoreKeys.jobKey(job), record(organisation).toByteArray())
                .build())
        .join();
  }

  private static void announce(JobService host, JobId job, OrganisationId organisation) {
    JobAnnounced message =
        JobAnnounced.newBuilder()
            .setJob(job.value())
            .setOrganisation(organisation.value())
            .setTotal(1)
            .setRunner(OTHER.value())
            .build();
    host.onJobMessage(OTHER, FleetMessage.newBuilder().setJobAnnounced(message).build());
  }

  /** Delivers the first messages to the other host, and its answers to a process that asks. */
  private void deliver(int count, JobService asking) {
    List.copyOf(toOther.subList(0, count)).forEach(m -> other.onJobMessage(ASKING, m));
    timer.advance(Duration.ZERO);
    List.copyOf(toAsking).forEach(m -> asking.onJobMessage(OTHER, m));
  }

  /** A page with another job's results would show one organisation the texts of another one. */
  @Test
  void resultsForAnEarlierProcessAreNotReturnedForAnotherJob() {
    other.readResults(PARISH_JOB, PARISH, 0, Duration.ZERO).join();
    JobService ended = start(ASKING, 1, store, toOther);
    announce(ended, PARISH_JOB, PARISH);
    ended.readResults(PARISH_JOB, PARISH, 0, Duration.ZERO);
    JobService next = start(ASKING, 2, store, toOther);
    announce(next, GUILD_JOB, GUILD);
    CompletableFuture<JobAnswer> answer = next.readResults(GUILD_JOB, GUILD, 0, Duration.ZERO);
    deliver(1, next);
    timer.advance(Duration.ofSeconds(1));
    assertThat(answer.join())
        .isInstanceOfSatisfying(
            JobAnswer.Page.class,
            page ->
                assertThat(page.results())
                    .extracting(JobResult::getItem)
                    .containsExactly("item-of-" + GUILD_JOB.value()));
  }

  /** Otherwise its caller is told of an acceptance although nothing is stored. */
  @Test
  void acceptanceForAnEarlierProcessIsNotThatOfAnotherJob() {
    MemoryStore storeOfAsking = MemoryStore.of(clock);
    storeOfAsking.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    start(ASKING, 1, storeOfAsking, toOther).submitJob(job("job-1"));
    JobService next = start(ASKING, 2, storeOfAsking, toOther);
    CompletableFuture<JobAnswer> answer = next.submitJob(job("job-2"));
    deliver(1, next);
    timer.advance(WITHIN_ANSWER_TIME);
    assertThat(answer.getNow(null)).isNull();
  }

  private static JobSubmission job(String id) {
    return new JobSubmission(
        JobId.of(id),
        PARISH,
        "h",
        FleetFixtures.jobRoute(),
        List.of(JobItem.newBuilder().setId("item-of-" + id).setTokens(10).build()));
  }

  /** Otherwise the runner is not told of the end if the first message to it is lost. */
  @Test
  void confirmationForAnEarlierProcessDoesNotEndTheMessagesAboutAnotherJob() {
    storeRunningJob(PARISH_JOB, PARISH);
    storeRunningJob(GUILD_JOB, GUILD);
    start(ASKING, 1, store, toOther).closeJob(PARISH_JOB, PARISH).join();
    JobService next = start(ASKING, 2, store, toOther);
    next.closeJob(GUILD_JOB, GUILD).join();
    deliver(1, next);
    toOther.clear();
    timer.advance(CLOSE_REPETITION);
    assertThat(toOther).extracting(m -> m.getJobClosed().getJob()).contains(GUILD_JOB.value());
  }
}
