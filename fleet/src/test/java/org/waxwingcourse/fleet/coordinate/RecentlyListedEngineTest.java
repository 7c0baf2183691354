package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage;

/**
 * As engines are replaced one after the other, the coordinator grants slots on engines whose
 * entries have not reached the host yet.
 */
class RecentlyListedEngineTest {
  private static final HostId HOST = HostId.of("host");
  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final EngineEntry ENGINE =
      new EngineEntry(
          UpstreamId.of("engine-new"),
          ServiceName.of("s"),
          new InetSocketAddress("127.0.0.1", 4711),
          DataCentreId.of("a"),
          8,
          false,
          77);

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final StoreView storeView =
      StoreView.of(document -> Either.left("none"), new Clocks(clock, clock));
  private final EngineDirectory directory =
      new EngineDirectory(storeView.engineTable(), e -> Option.none());
  private final List<UpstreamId> granted = new ArrayList<>();
  private final List<FleetMessage> grants = new ArrayList<>();
  private final Coordinator coordinator =
      new Coordinator(FleetFixtures.recordingPeers((to, m) -> grants.add(m)), clock);
  private final SlotClient client =
      new SlotClient(
          FleetFixtures.recordingPeers(
              (to, m) -> {
                if (m.hasAsk()) {
                  coordinator.onAsk(HOST, m.getAsk());
                }
              }),
          clock,
          FleetFixtures.DATA_CENTRE,
          FleetFixtures.learningEngines(directory::learn));

  private void requestSlot() {
    SlotRequirements requirements =
        new SlotRequirements(
            RequestId.of("r"),
            ENGINE.service(),
            WorkClass.ONLINE,
            0,
            Option.none(),
            Deadline.after(clock, Duration.ofMillis(200)),
            Deadline.after(clock, Duration.ofSeconds(2)),
            List.of(),
            Set.of(),
            Option.none(),
            Option.none(),
            Option.none(),
            HomeRegions.ANY,
            Option.none());
    client.requestSlot(
        requirements,
        new SlotListener() {
          @Override
          public void onGrant(UpstreamId engine, Option<SoftwareId> software, Duration waited) {
            granted.add(engine);
          }

          @Override
          public void onRefusal(RefusalCode code, Instant retryAt, String reason) {
            throw new AssertionError(reason);
          }

          @Override
          public void onYield() {}
        });
    client.onGrant(COORDINATOR, grants.get(grants.size() - 1).getGrant());
  }

  @Test
  void hostLearnsOfANewEngineWithItsGrant() {
    client.attachTo(COORDINATOR);
    coordinator.setFleetShare(1);
    coordinator.setEngines(List.of(ENGINE));
    requestSlot();
    assertThat(granted).containsExactly(ENGINE.id());
    assertThat(directory.findEngine(ENGINE.id())).contains(ENGINE);
  }

  @Test
  void entriesOfEnginesListedLongAgoAreNotSent() {
    client.attachTo(COORDINATOR);
    coordinator.setFleetShare(1);
    coordinator.setEngines(List.of(ENGINE));
    clock.advance(Duration.ofSeconds(6));
    requestSlot();
    assertThat(grants.get(0).getGrant().hasEntry()).isFalse();
  }
}
