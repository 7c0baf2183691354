package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.quarantine.QuarantinedPrompt;
import org.waxwingcourse.fleet.slot.BatchWork;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.wire.fleet.FleetMessage;

/** Accepted items waited for a minute or more after a quarantine's probe was lost. */
class LostPromptProbeTest extends SimulatedFleet {
  private static final long PART = 5;
  private static final long OTHER_PART = 6;
  private static final int SLOTS = 16;

  /** Delay between a verdict and its first probe. */
  private static final Duration PROBE_DELAY = Duration.ofSeconds(10);

  /** Time in which other hosts notice that one is lost, and choose a coordinator. */
  private static final Duration LOSS = Duration.ofSeconds(3);

  /** Time in which a host asks again for what it has had no answer to. */
  private static final Duration LOST_MESSAGE = Duration.ofSeconds(1);

  private static final int MANY = 20_000;

  private static final Duration MINUTE = Duration.ofMinutes(1);

  /** Interval at which an item asks again. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private static final int MAX_SENT_WHEN_KNOWN = 3;

  private long revision = 9;

  private List<Entry> listed =
      List.of(
          FleetFixtures.engineEntry("engine-1", 1, 8, false, 1, 1),
          FleetFixtures.engineEntry("engine-2", 2, 8, false, 1, 1));

  @Override
  List<Entry> listedEngines() {
    return listed;
  }

  private long request(Member host, WorkClass workClass, Long... promptParts) {
    long number = send(host, workClass, promptParts);
    deliver();
    return number;
  }

  private long send(Member host, WorkClass workClass, Long... promptParts) {
    Deadline due = Deadline.after(clock, Duration.ofSeconds(60));
    return host.requestSlot(
        new SlotRequirements(
            RequestId.of("r"),
            SERVICE,
            workClass,
            0,
            Option.none(),
            Option.none(),
            due,
            due,
            List.of(promptParts),
            Set.of(),
            Option.when(workClass == WorkClass.BATCH, () -> new BatchWork(due, 0)),
            Option.none(),
            Option.none(),
            HomeRegions.ANY,
            Option.none(),
            RequestSize.UNKNOWN));
  }

  private long requestItem(Member host) {
    return request(host, WorkClass.BATCH, PART, 100L);
  }

  private boolean isLetThrough(Member host) {
    return grants.containsKey(requestItem(host));
  }

  private void blame(Long... parts) {
    members.get(0).coordinator.quarantine().add(Set.of(parts), clock.instant());
    run(TICK.multipliedBy(3));
  }

  /** Lets the first request through after a verdict; returns its number. */
  private long startProbe(Member host) {
    blame(PART);
    assertThat(isLetThrough(host)).as("before the first probe").isFalse();
    run(PROBE_DELAY);
    long probe = requestItem(host);
    assertThat(grants).containsKey(probe);
    return probe;
  }

  private void assertAnotherIsLetThrough() {
    run(PROBE_DELAY.plus(LOSS));
    assertThat(isLetThrough(members.get(2))).isTrue();
  }

  private List<Long> fillSlots(Member host, int count) {
    List<Long> online = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      online.add(request(host, WorkClass.ONLINE));
    }
    return online;
  }

  private void end(Member host, List<Long> runs) {
    runs.forEach(n -> host.slots.endRun(n, RunEnd.of(RunEnd.How.WHOLE)));
    deliver();
  }

  private void deliverWithout(Predicate<FleetMessage> lost) {
    network.removeIf(m -> lost.test(m.content()));
    deliver();
  }

  @Test
  void itemsAreHeldNoLongerWhenTheProbeIsPreempted() {
    startProbe(members.get(3));
    List<Long> online = fillSlots(members.get(4), SLOTS);
    assertThat(grants).containsKeys(online.toArray(Long[]::new));
    end(members.get(4), online);
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerWhenTheHostOfTheProbeIsLost() {
    startProbe(members.get(3));
    silent.add(members.get(3).id);
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerWhenTheEndOfTheProbeIsNotHeardOf() {
    Member host = members.get(3);
    long probe = startProbe(host);
    host.slots.endRun(probe, RunEnd.of(RunEnd.How.CANCELLED));
    deliverWithout(FleetMessage::hasEnd);
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerWhenTheProbeIsWithdrawnWhileItWaits() {
    blame(PART);
    run(PROBE_DELAY);
    List<Long> online = fillSlots(members.get(4), SLOTS);
    long probe = requestItem(members.get(3));
    assertThat(grants).doesNotContainKey(probe);
    members.get(3).slots.withdrawRequest(probe);
    deliver();
    end(members.get(4), online);
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerWhenAnotherVerdictRefusesTheWaitingProbe() {
    blame(PART);
    run(PROBE_DELAY);
    List<Long> online = fillSlots(members.get(4), SLOTS);
    request(members.get(3), WorkClass.BATCH, PART, OTHER_PART, 100L);
    blame(OTHER_PART);
    end(members.get(4), online);
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerWhenTheCoordinatorOfAWaitingProbeIsLost() {
    blame(PART);
    run(PROBE_DELAY);
    fillSlots(members.get(4), SLOTS);
    long probe = requestItem(members.get(3));
    run(TICK.multipliedBy(3));
    silent.add(members.get(0).id);
    run(LOSS);
    members.get(3).slots.withdrawRequest(probe);
    end(members.get(4), List.copyOf(grants.keySet()));
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerWhenTheCoordinatorOfARunningProbeIsLost() {
    long probe = startProbe(members.get(3));
    run(TICK.multipliedBy(3));
    silent.add(members.get(0).id);
    run(LOSS);
    members.get(3).slots.endRun(probe, RunEnd.of(RunEnd.How.CANCELLED));
    deliver();
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerWhenTheEngineOfTheProbeIsUnlisted() {
    long probe = startProbe(members.get(3));
    unlist(grants.get(probe));
    assertThat(listed).hasSize(1);
    members.get(3).slots.endRun(probe, RunEnd.of(RunEnd.How.ENGINE_LOST));
    deliver();
    assertAnotherIsLetThrough();
  }

  @Test
  void itemsAreHeldNoLongerBySecondVerdictAfterAWrongOne() {
    Member host = members.get(3);
    long probe = startProbe(host);
    host.slots.endRun(probe, new RunEnd(RunEnd.How.WHOLE, Duration.ofMillis(40), Duration.ZERO, 1));
    deliver();
    assertThat(isLetThrough(members.get(2))).as("after the first verdict").isTrue();
    blame(PART);
    assertThat(isLetThrough(members.get(2))).as("after the second verdict").isFalse();
    assertAnotherIsLetThrough();
  }

  @Test
  void onlineRequestIsNotHeldByAnItemThatWaitsForTheProbe() {
    blame(PART);
    run(PROBE_DELAY);
    List<Long> online = fillSlots(members.get(4), SLOTS - 1);
    for (int i = 0; i < SLOTS; i++) {
      request(members.get(4), WorkClass.BATCH);
    }
    long item = requestItem(members.get(3));
    assertThat(grants).doesNotContainKey(item);
    long asked = request(members.get(3), WorkClass.ONLINE, PART, 101L);
    end(members.get(4), online);
    assertThat(grants).containsKey(asked);
  }

  /** The coordinator refused the probe when its host asked again for the grant that was lost. */
  @Test
  void probeIsGrantedAgainWhenItsGrantIsLost() {
    blame(PART);
    run(PROBE_DELAY);
    long probe = send(members.get(3), WorkClass.BATCH, PART, 100L);
    Message ask = network.poll();
    members.get(0).router.onMessage(ask.from(), ask.content().toByteArray());
    assertThat(network).anyMatch(m -> m.content().hasGrant());
    deliverWithout(FleetMessage::hasGrant);
    run(LOST_MESSAGE);
    assertThat(grants).containsKey(probe);
  }

  /** Each refusal at a grant led to the next within it, until the stack was used up. */
  @Test
  void manyItemsThatWaitAreRefusedWhenAnotherHostReportsTheVerdict() {
    List<Long> online = fillSlots(members.get(4), SLOTS);
    for (int i = 0; i < MANY; i++) {
      send(members.get(3), WorkClass.BATCH, PART, 100L);
    }
    deliver();
    Deadline probeAt = Deadline.after(clock, PROBE_DELAY);
    members
        .get(0)
        .coordinator
        .quarantine()
        .merge(new QuarantinedPrompt(Set.of(PART), 1, 0, false, probeAt));
    end(members.get(4), online);
    assertThat(refusals).hasSize(MANY);
  }

  /** A request was let through each second when engines were unlisted before their ends came. */
  @Test
  void enginesThatAreUnlistedAsTheyCrashCountAgainstThePrompt() {
    Member host = members.get(3);
    List<Entry> all = listed;
    blame(PART);
    int letThrough = 0;
    Instant end = clock.instant().plus(MINUTE);
    while (clock.instant().isBefore(end)) {
      run(RETRY_INTERVAL);
      long item = requestItem(host);
      if (grants.containsKey(item)) {
        letThrough++;
        unlist(grants.get(item));
        host.slots.endRun(item, RunEnd.of(RunEnd.How.ENGINE_BROKE_OFF));
        deliver();
        listEngines(all);
      }
    }
    assertThat(letThrough).isBetween(1, MAX_SENT_WHEN_KNOWN);
  }

  private void unlist(UpstreamId engine) {
    listEngines(listed.stream().filter(e -> !e.key().contains(engine.value())).toList());
  }

  private void listEngines(List<Entry> next) {
    listed = next;
    revision++;
    members.forEach(m -> list(m, revision));
    deliver();
  }
}
