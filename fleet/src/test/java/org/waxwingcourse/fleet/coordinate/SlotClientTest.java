package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.slot.SlotScheduler;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;

/** Tests how a host compensates for lost messages. */
class SlotClientTest {
  private static final OrganisationId PARISH = OrganisationId.of("parish");
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final List<Sent> sent = new ArrayList<>();
  private final List<String> calls = new ArrayList<>();
  private final SlotClient client = new SlotClient(peers(), clock, DataCentreId.of("dc"), List::of);

  @BeforeEach
  void attach() {
    client.attachTo(A);
    sent.clear();
  }

  private record Sent(HostId to, FleetMessage message) {}

  private PeerTransport peers() {
    return FleetFixtures.recordingPeers((to, message) -> sent.add(new Sent(to, message)));
  }

  private long requestSlot() {
    return requestSlot(client);
  }

  private long requestSlot(SlotClient client) {
    return requestSlot(client, Option.some(PARISH));
  }

  private long requestSlot(SlotClient client, Option<OrganisationId> chargedTo) {
    SlotRequirements requirements =
        new SlotRequirements(
            RequestId.of("r"),
            ServiceName.of("s"),
            WorkClass.ONLINE,
            0,
            chargedTo,
            Option.some(PARISH),
            Deadline.after(clock, Duration.ofMillis(200)),
            Deadline.after(clock, Duration.ofSeconds(2)),
            List.of(),
            Set.of(),
            Option.none(),
            Option.none(),
            Option.none(),
            HomeRegions.ANY,
            Option.none(),
            RequestSize.UNKNOWN);
    return client.requestSlot(
        requirements,
        new SlotListener() {
          @Override
          public void onGrant(UpstreamId engine, Option<SoftwareId> software, Duration waited) {
            calls.add("grant " + engine);
          }

          @Override
          public void onRefusal(RefusalCode code, Instant retryAt, String reason) {
            calls.add("refusal");
          }

          @Override
          public void onYield() {
            calls.add("yield");
          }
        });
  }

  private List<Sent> asks() {
    return sent.stream().filter(s -> s.message.hasAsk()).toList();
  }

  /** Returns a client that runs an action on another thread just as it takes a grant. */
  private SlotClient interruptedByNetworkThread(Runnable action) {
    HostEngines engines =
        FleetFixtures.learningEngines(e -> CompletableFuture.runAsync(action).join());
    SlotClient interrupted = new SlotClient(peers(), clock, DataCentreId.of("dc"), engines);
    interrupted.attachTo(B);
    return interrupted;
  }

  private static SlotGrant describedGrant(long number, String engine) {
    EngineEntry entry =
        FleetFixtures.readEngine(FleetFixtures.engineEntry(engine, 1, 8, false, 1, 1)).get();
    return DescribedGrant.of(number, entry);
  }

  private static SlotGrant grant(long number, String engine) {
    return SlotGrant.newBuilder().setNumber(number).setEngine(engine).build();
  }

  @Test
  void restartedHostDoesNotUseTheNumbersOfItsLastProcess() {
    long before = requestSlot();
    SlotClient restarted = new SlotClient(peers(), clock, DataCentreId.of("dc"), List::of);
    restarted.attachTo(A);
    assertThat(requestSlot(restarted)).isNotEqualTo(before);
  }

  @Test
  void undecidedRequestIsResentAndChargedOnce() {
    requestSlot();
    client.resendLostMessages();
    assertThat(asks()).hasSize(1);
    clock.advance(Duration.ofMillis(310));
    client.resendLostMessages();
    assertThat(asks()).hasSize(2);
    assertThat(asks().get(0).message.getAsk().getCharge()).isTrue();
    assertThat(asks().get(1).message.getAsk().getCharge()).isFalse();
  }

  /** Else a request that runs again after its engine was lost would belong to no organisation. */
  @Test
  void requestThatWasChargedBeforeStillNamesItsOrganisation() {
    requestSlot(client, Option.none());
    assertThat(asks().get(0).message.getAsk().getCharge()).isFalse();
    assertThat(asks().get(0).message.getAsk().getOrganisation()).isEqualTo(PARISH.value());
  }

  @Test
  void requestBeforeACoordinatorIsKnownWaitsAndIsChargedWithItsFirstMessage() {
    SlotClient starting = new SlotClient(peers(), clock, DataCentreId.of("dc"), List::of);
    requestSlot(starting);
    clock.advance(Duration.ofMillis(310));
    starting.resendLostMessages();
    assertThat(sent).isEmpty();
    starting.attachTo(B);
    assertThat(asks()).hasSize(1);
    assertThat(asks().get(0).to).isEqualTo(B);
    assertThat(asks().get(0).message.getAsk().getCharge()).isTrue();
  }

  @Test
  void grantedRequestIsNotResent() {
    client.onGrant(A, grant(requestSlot(), "e1"));
    clock.advance(Duration.ofSeconds(1));
    client.resendLostMessages();
    assertThat(asks()).hasSize(1);
    assertThat(calls).containsExactly("grant e1");
  }

  @Test
  void newCoordinatorReceivesRunsAndWaitingRequests() {
    long running = requestSlot();
    client.onGrant(A, grant(running, "e1"));
    requestSlot();
    sent.clear();
    client.attachTo(B);
    assertThat(sent).allMatch(s -> s.to.equals(B));
    assertThat(sent.get(0).message.getRunning().getRunsList())
        .extracting(r -> r.getNumber() + r.getEngine())
        .containsExactly(running + "e1");
    assertThat(asks()).hasSize(1);
  }

  @Test
  void secondSlotForTheSameRequestIsReturned() {
    long number = requestSlot();
    client.onGrant(A, grant(number, "e1"));
    client.onGrant(A, grant(number, "e1"));
    assertThat(sent).noneMatch(s -> s.message.hasEnd());
    client.onGrant(B, grant(number, "e2"));
    assertThat(sent.get(sent.size() - 1).to).isEqualTo(B);
    assertThat(sent.get(sent.size() - 1).message.hasEnd()).isTrue();
    assertThat(calls).containsExactly("grant e1");
  }

  /** A request that may run once ran twice: two coordinators' messages are read by two threads. */
  @Test
  void requestGrantedByTwoCoordinatorsAtTheSameTimeRunsOnce() {
    AtomicLong number = new AtomicLong();
    AtomicReference<SlotClient> host = new AtomicReference<>();
    host.set(interruptedByNetworkThread(() -> host.get().onGrant(A, grant(number.get(), "e2"))));
    number.set(requestSlot(host.get()));
    host.get().onGrant(B, describedGrant(number.get(), "e1"));
    assertThat(calls).hasSize(1);
    assertThat(sent).filteredOn(s -> s.message.hasEnd()).hasSize(1);
  }

  @Test
  void requestGrantedAndRefusedAtTheSameTimeIsDecidedOnce() {
    AtomicLong number = new AtomicLong();
    AtomicReference<SlotClient> host = new AtomicReference<>();
    host.set(
        interruptedByNetworkThread(
            () -> host.get().onRefusal(SlotRefusal.newBuilder().setNumber(number.get()).build())));
    number.set(requestSlot(host.get()));
    host.get().onGrant(B, describedGrant(number.get(), "e1"));
    assertThat(calls).hasSize(1);
  }

  @Test
  void slotForAWithdrawnRequestIsReturned() {
    long number = requestSlot();
    client.withdrawRequest(number);
    client.onGrant(A, grant(number, "e1"));
    assertThat(sent.get(sent.size() - 1).message.hasEnd()).isTrue();
    assertThat(calls).isEmpty();
  }

  @Test
  void runIsReportedUntilItEnds() {
    long number = requestSlot();
    client.onGrant(A, grant(number, "e1"));
    clock.advance(Duration.ofSeconds(2));
    client.resendLostMessages();
    assertThat(sent.get(sent.size() - 1).message.getRunning().getRunsCount()).isEqualTo(1);
    client.endRun(number, RunEnd.of(RunEnd.How.WHOLE));
    clock.advance(Duration.ofSeconds(2));
    client.resendLostMessages();
    assertThat(sent.get(sent.size() - 1).message.getRunning().getRunsCount()).isZero();
  }

  /** The grant has been taken, and its receiver waits for the thread that withdraws the request. */
  @Test
  void slotIsReturnedIfItsRequestIsWithdrawnWhileItIsGranted() {
    AtomicLong number = new AtomicLong();
    AtomicReference<SlotClient> host = new AtomicReference<>();
    host.set(interruptedByNetworkThread(() -> host.get().withdrawRequest(number.get())));
    number.set(requestSlot(host.get()));
    host.get().onGrant(B, describedGrant(number.get(), "e1"));
    host.get().endRun(number.get(), RunEnd.of(RunEnd.How.NOT_SENT));
    assertThat(sent).filteredOn(s -> s.message.hasEnd()).hasSize(1);
  }

  /** A coordinator keeps runs that it granted lately though a report lacks them. */
  @Test
  void endThatWasLostIsReportedAfterTheGrantIsOldEnoughToCount() {
    clock.advance(Duration.ofSeconds(10));
    long number = requestSlot();
    client.onGrant(A, grant(number, "e1"));
    client.endRun(number, RunEnd.of(RunEnd.How.WHOLE));
    clock.advance(Duration.ofMillis(150));
    client.resendLostMessages();
    sent.clear();
    Instant counts = clock.instant().plus(SlotScheduler.GRANT_ROUND_TRIP);
    while (!clock.instant().isAfter(counts)) {
      clock.advance(Duration.ofMillis(150));
      client.resendLostMessages();
    }
    assertThat(sent).hasSize(1).allMatch(s -> s.message.hasRunning());
    clock.advance(Duration.ofSeconds(10));
    client.resendLostMessages();
    assertThat(sent).as("no reports of an idle host").hasSize(1);
  }

  /** The coordinator has granted it, and that message was lost. */
  @Test
  void runsAreReportedAfterARequestIsWithdrawn() {
    clock.advance(Duration.ofSeconds(10));
    client.withdrawRequest(requestSlot());
    sent.clear();
    clock.advance(SlotScheduler.GRANT_ROUND_TRIP.plusMillis(150));
    client.resendLostMessages();
    assertThat(sent).hasSize(1).allMatch(s -> s.message.hasRunning());
  }

  /** A slot granted to the process before, which restarted at once, stayed taken. */
  @Test
  void runsAreReportedAgainAfterAttaching() {
    clock.advance(SlotScheduler.GRANT_ROUND_TRIP.plusMillis(150));
    client.resendLostMessages();
    assertThat(sent).hasSize(1).allMatch(s -> s.message.hasRunning());
    clock.advance(Duration.ofSeconds(10));
    client.resendLostMessages();
    assertThat(sent).as("no reports of an idle host").hasSize(1);
  }
}
