package org.waxwingcourse.fleet.online;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.wire.fleet.SlotAsk;

/** Requests of routes with home regions reached engines in other regions. */
class HomeRegionRunTest extends OnlineRunFixture {
  private static final UpstreamId AWAY = FIRST;
  private static final UpstreamId AT_HOME = SECOND;

  @Override
  Option<String> regionOf(UpstreamId engine) {
    return Option.some(engine.equals(AT_HOME) ? "home" : "away");
  }

  private void createService(String... regions) {
    createService(
        FleetFixtures.onlineRoute(RequestKind.STREAM).withHomes(HomeRegions.of(List.of(regions))));
  }

  @Test
  void requestIsNotSentToAnEngineInAnotherRegion() throws InterruptedException {
    createService("home");
    serve("r");
    SlotAsk ask = nextAsk();
    assertThat(ask.getHomeRegionsList()).containsExactly("home");
    grant(ask, AWAY);
    assertThat(receivers()).as("granted by a coordinator of an earlier version").isEmpty();
    grant(nextAsk(), AT_HOME);
    assertThat(receivers()).containsExactly(AT_HOME);
  }

  @Test
  void requestIsRefusedAtOnceWithTheReasonIfNoEngineInAHomeRegionIsListed() {
    createService("elsewhere");
    RecordingSink sink = serve("r");
    assertThat(sink.outcomes).hasSize(1);
    assertThat(sink.outcomes.get(0).toString())
        .contains("no engine of s is listed in a home region [elsewhere]");
    assertThat(asks).isEmpty();
  }

  @Test
  void routeWithoutHomeRegionsUsesAllEngines() throws InterruptedException {
    createService();
    serve("r");
    SlotAsk ask = nextAsk();
    assertThat(ask.getHomeRegionsCount()).isZero();
    grant(ask, AWAY);
    assertThat(receivers()).containsExactly(AWAY);
  }
}
