package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/**
 * Engines that said in answers that they were leaving were granted on until the store said so too.
 * The store lists all engines as ready throughout.
 */
class LeavingEngineGrantTest extends SimulatedFleet {
  private static final UpstreamId LEAVING = UpstreamId.of("engine-1");
  private static final UpstreamId STAYING = UpstreamId.of("engine-2");
  private static final EngineBoot LEAVING_BOOT = new EngineBoot(LEAVING, 1);

  @Override
  List<Entry> listedEngines() {
    return List.of(
        FleetFixtures.engineEntry(LEAVING.value(), 1, 1, false, 1, 1),
        FleetFixtures.engineEntry(STAYING.value(), 2, 1, false, 1, 1));
  }

  private static boolean knowsLeaving(Member member) {
    return member.engines.findEngine(LEAVING).exists(EngineEntry::leaving);
  }

  @Test
  void waitingRequestIsNotGrantedAnEngineThatSaysThatItLeaves() {
    Member host = members.get(3);
    List<Long> running = List.of(host.requestSlot(), host.requestSlot());
    deliver();
    assertThat(grants).containsOnlyKeys(running);
    long waiting = host.requestSlot();
    deliver();
    host.engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    deliver();
    assertThat(members.get(0).slots()).as("capacity").isEqualTo(1);
    long there = running.stream().filter(n -> grants.get(n).equals(LEAVING)).findFirst().get();
    host.slots.endRun(there, RunEnd.of(RunEnd.How.WHOLE));
    deliver();
    assertThat(grants).doesNotContainKey(waiting);
    long elsewhere = running.stream().filter(n -> n != there).findFirst().get();
    host.slots.endRun(elsewhere, RunEnd.of(RunEnd.How.WHOLE));
    deliver();
    assertThat(grants).containsEntry(waiting, STAYING);
    assertThat(refusals).isEmpty();
  }

  @Test
  void grantIsNotRepeatedOnAnEngineThatSaysThatItLeaves() {
    Member host = members.get(3);
    long first = host.requestSlot();
    long second = host.requestSlot();
    deliverWithoutGrants();
    members.get(4).engines.markLeaving(LEAVING_BOOT, RequestId.of("other"));
    deliver();
    run(Duration.ofSeconds(2));
    assertThat(grants.values()).containsOnly(STAYING);
    assertThat(grants.keySet()).isSubsetOf(first, second).hasSize(1);
  }

  private void deliverWithoutGrants() {
    while (!network.isEmpty()) {
      Message message = network.poll();
      if (!message.content().hasGrant()) {
        members.stream()
            .filter(m -> m.id.equals(message.to()))
            .forEach(m -> m.router.onMessage(message.from(), message.content().toByteArray()));
      }
    }
  }

  @Test
  void otherHostsLearnWithTheirNextPong() {
    members.get(3).engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    deliver();
    assertThat(knowsLeaving(members.get(0))).as("coordinator, at once").isTrue();
    run(TICK.multipliedBy(2));
    assertThat(members).allMatch(LeavingEngineGrantTest::knowsLeaving);
  }

  @Test
  void nextCoordinatorLearnsBeforeItGrants() {
    silent.add(members.get(0).id);
    Member host = members.get(4);
    host.engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    long[] requests = {host.requestSlot(), host.requestSlot()};
    run(Duration.ofSeconds(2));
    assertThat(host.slots.coordinator()).contains(members.get(1).id);
    assertThat(members.get(1).slots()).isEqualTo(1);
    assertThat(grants).hasSize(1).containsValue(STAYING);
    assertThat(grants.keySet()).isSubsetOf(requests[0], requests[1]);
  }

  @Test
  void hostThatIsCutOffHoldsWhatItWasTold() {
    Member host = members.get(4);
    members.stream().filter(m -> m != host).forEach(m -> silent.add(m.id));
    host.engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    run(Duration.ofSeconds(2));
    assertThat(host.slots.coordinator()).contains(host.id);
    list(host, 10);
    host.requestSlot();
    deliver();
    assertThat(grants.values()).containsOnly(STAYING);
  }

  @Test
  void coordinatorThatHasMissedTheReportLearnsWithTheNextPing() {
    members.get(3).engines.markLeaving(LEAVING_BOOT, RequestId.of("r"));
    network.clear();
    run(TICK.multipliedBy(2));
    assertThat(members.get(0).slots()).isEqualTo(1);
  }
}
