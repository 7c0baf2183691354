package org.waxwingcourse.fleet.plan;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.FleetHosts;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;

/** Which regions a request may reach, by its route and its organisation. */
class HomeRegionsTest {
  private static final OrganisationId ORGANISATION = OrganisationId.of("o");

  private static HomeRegions homes(String... regions) {
    return HomeRegions.of(List.of(regions));
  }

  private static HomeRegions both(HomeRegions ofRoute, HomeRegions ofOrganisation) {
    Route route = FleetFixtures.jobRoute().withHomes(ofRoute);
    OrganisationPlan organisation =
        new OrganisationPlan(ORGANISATION, Set.of(), 0, 0, Option.none(), ofOrganisation);
    Plan plan =
        new Plan(
            1,
            RouteTable.of(List.of(route)),
            Map.of(),
            CallerLimits.DEFAULT,
            OrganisationTable.of(List.of(organisation)));
    return plan.homes(route, ORGANISATION);
  }

  @Test
  void whereRouteAndOrganisationNameRegionsBothApply() {
    assertThat(both(HomeRegions.ANY, HomeRegions.ANY).isRestricted()).isFalse();
    assertThat(both(homes("a", "b"), HomeRegions.ANY).names()).containsExactly("a", "b");
    assertThat(both(HomeRegions.ANY, homes("b")).names()).containsExactly("b");
    assertThat(both(homes("a", "b"), homes("b", "c")).names()).containsExactly("b");
    HomeRegions none = both(homes("a"), homes("c"));
    assertThat(none.isRestricted()).isTrue();
    assertThat(none.allow(Option.some("a"))).isFalse();
  }

  @Test
  void regionThatIsNotKnownIsNoHome() {
    assertThat(homes("a").allow(Option.none())).isFalse();
    assertThat(HomeRegions.ANY.allow(Option.none())).isTrue();
  }

  /** All hosts of the fixture are in one region. */
  @Test
  void hostsOutsideAreNamedOnlyIfThereAreNoneInside() {
    FleetHost host = FleetFixtures.callerHost(HostId.of("h"), 1);
    FleetHost outside =
        new FleetHost(
            HostId.of("other"),
            1,
            host.dataCentre(),
            "far",
            host.peerAddress(),
            host.callerAddress(),
            false,
            host.registeredAt());
    List<FleetHost> all = List.of(host, outside);
    assertThat(FleetHosts.preferInside(all, homes("far"))).containsExactly(outside);
    assertThat(FleetHosts.preferInside(all, homes("nowhere"))).isEqualTo(all);
    assertThat(FleetHosts.preferInside(all, HomeRegions.ANY)).isEqualTo(all);
  }
}
