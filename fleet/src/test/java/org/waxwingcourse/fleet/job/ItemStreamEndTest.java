package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.slot.BatchRunTimes;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.HostEntryRegistration;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.SlotEnd;
import org.waxwingcourse.wire.fleet.SlotGrant;

/**
 * An item whose stream ended inside an event was listed as completed without the event that was cut
 * and those after it.
 */
class ItemStreamEndTest {
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 1);
  private static final long PATIENCE_SECONDS = 10;
  private static final String FIRST = "id: 1\ndata: a\n\n";
  private static final String STREAM = FIRST + "id: 2\ndata: bc\n\n";

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final BlockingQueue<FleetMessage> sent = new LinkedBlockingQueue<>();
  private final BlockingQueue<Run> started = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private final StoreView storeView =
      StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
  private final EngineDirectory engines =
      new EngineDirectory(storeView.engineTable(), e -> Option.none());
  private final SlotClient slots =
      new SlotClient(
          FleetFixtures.recordingPeers((to, message) -> sent.add(message)),
          clock,
          FleetFixtures.DATA_CENTRE,
          List::of);
  private final FleetMessageRouter channel =
      new FleetMessageRouter(null, null, slots, (from, m) -> {}, (from, m) -> {});

  private record Run(EngineRequest request, EngineListener listener) {}

  /** How the first engine's answer ends after the bytes that it has sent. */
  enum Ending {
    FRAMED_COMPLETE,
    FRAMED_LOST,
    CLOSE_DELIMITED_COMPLETE,
    CLOSE_DELIMITED_LOST;

    private boolean isLost() {
      return this == FRAMED_LOST || this == CLOSE_DELIMITED_LOST;
    }

    private boolean isCloseDelimited() {
      return this == CLOSE_DELIMITED_COMPLETE || this == CLOSE_DELIMITED_LOST;
    }

    private boolean endsStreamAfter(int position) {
      boolean atBoundary = position == FIRST.length() || position == STREAM.length();
      return !isLost() && (atBoundary || position == 0 && !isCloseDelimited());
    }
  }

  @AfterEach
  void stop() {
    timer.shutdownNow();
  }

  private JobRunner.Ports ports() {
    MemoryStore store = MemoryStore.of(clock);
    return new JobRunner.Ports(
        SELF,
        new HostEntryRegistration(
            FleetFixtures.host(SELF.host(), SELF.boot()),
            store,
            storeView,
            clocks,
            timer,
            new SecureRandom()),
        new JobStore(store),
        clock,
        clock,
        timer,
        new Random(1),
        storeView,
        engines,
        (request, listener) -> {
          started.add(new Run(request, listener));
          return () -> {};
        },
        slots,
        new BatchRunTimes(),
        job -> {},
        job -> {},
        headers -> List.of(),
        h -> RequestSize.UNKNOWN);
  }

  private ItemRun item() {
    JobRecord record =
        JobRecord.newBuilder()
            .setRoute("jobs")
            .setOrganisation("parish")
            .setDueMillis(clock.instant().plusSeconds(18).toEpochMilli())
            .setGiveUpMillis(clock.instant().plusSeconds(60).toEpochMilli())
            .build();
    JobItem item = JobItem.newBuilder().setId("item-1").build();
    JobRunner.Ports ports = ports();
    RunningJob job =
        new RunningJob(
            JobId.of("job-1"),
            new JobStore.StoredRecord(record, Revision.of(1)),
            List.of(item),
            List.of(),
            new AskedAt(clock.instant(), 1),
            ports,
            () -> {});
    return new ItemRun(
        0, item, job, ports, (run, completed, text) -> results.add(completed + ":" + text));
  }

  private Run grantNextTo(String engine) throws Exception {
    FleetMessage message = sent.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    while (!message.hasAsk()) {
      message = sent.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
    channel.onMessage(COORDINATOR, grantOf(message, engine).toByteArray());
    return started.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  private static FleetMessage grantOf(FleetMessage ask, String engine) {
    return FleetMessage.newBuilder()
        .setGrant(SlotGrant.newBuilder().setNumber(ask.getAsk().getNumber()).setEngine(engine))
        .build();
  }

  private static void answer(EngineListener listener, String body, Ending ending) {
    listener.onHead(
        new EngineAnswer(
            200, List.of(), EngineAnswer.Verdict.RUN, ending.isCloseDelimited(), false));
    if (!body.isEmpty()) {
      listener.onBytes(body.getBytes(StandardCharsets.US_ASCII));
    }
    listener.onEnd(
        Option.when(ending.isLost(), new CallFailure(CallFailure.Kind.LOST, "connection closed")));
  }

  @ParameterizedTest
  @CsvSource({"FRAMED_COMPLETE", "FRAMED_LOST", "CLOSE_DELIMITED_COMPLETE", "CLOSE_DELIMITED_LOST"})
  void itemGoesOnAtAnotherEngineWhereverItsStreamIsCut(Ending ending) throws Exception {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    slots.attachTo(COORDINATOR);
    Arrays.asList("e1", "e2").forEach(this::list);
    for (int position = 0; position <= STREAM.length(); position++) {
      String at = ending + " after byte " + position;
      item().requestSlot();
      Run first = grantNextTo("e1");
      answer(first.listener(), STREAM.substring(0, position), ending);
      if (ending.endsStreamAfter(position)) {
        assertThat(awaitEndOfRun().getBrokenOff()).as(at).isFalse();
        assertThat(results.poll(PATIENCE_SECONDS, TimeUnit.SECONDS))
            .as(at)
            .isEqualTo("true:" + (position == 0 ? "" : position < STREAM.length() ? "a" : "a\nbc"));
        continue;
      }
      Run second = grantNextTo("e2");
      assertThat(second).as(at).isNotNull();
      long after = position < FIRST.length() ? 0 : position < STREAM.length() ? 1 : 2;
      assertThat(second.request().resumeAfter().getOrElse(0L)).as(at).isEqualTo(after);
      String rest = after == 0 ? STREAM : after == 1 ? STREAM.substring(FIRST.length()) : "";
      answer(second.listener(), rest, Ending.FRAMED_COMPLETE);
      assertThat(results.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).as(at).isEqualTo("true:a\nbc");
      sent.clear();
    }
  }

  /** What two versions write does not fit together, and nobody has seen the item's events yet. */
  @Test
  void itemBeginsAnewAtAnEngineOfAnotherVersion() throws Exception {
    storeView.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(1), "plan".getBytes(StandardCharsets.UTF_8)));
    slots.attachTo(COORDINATOR);
    list("e1", "v1");
    list("e2", "v2");
    item().requestSlot();
    Run first = grantNextTo("e1");
    answer(first.listener(), FIRST, Ending.FRAMED_LOST);
    FleetMessage ask = sent.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    while (!ask.hasAsk()) {
      ask = sent.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
    assertThat(ask.getAsk().getSoftware())
        .isEqualTo(engines.findEngine(UpstreamId.of("e1")).get().software().hash());
    channel.onMessage(COORDINATOR, grantOf(ask, "e2").toByteArray());
    Run second = started.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    assertThat(second.request().resumeAfter()).isEmpty();
    answer(second.listener(), STREAM.replace("data: a", "data: x"), Ending.FRAMED_COMPLETE);
    assertThat(results.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("true:x\nbc");
  }

  private void list(String id) {
    list(id, "v1");
  }

  private void list(String id, String version) {
    EngineEntry engine =
        new EngineEntry(
            UpstreamId.of(id),
            ServiceName.of("s"),
            new InetSocketAddress("127.0.0.1", 1),
            FleetFixtures.DATA_CENTRE,
            1,
            false,
            0);
    engines.learn(engine.withVersion(Option.some(version)));
  }

  private SlotEnd awaitEndOfRun() throws InterruptedException {
    FleetMessage message = sent.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    while (!message.hasEnd()) {
      message = sent.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
    return message.getEnd();
  }
}
