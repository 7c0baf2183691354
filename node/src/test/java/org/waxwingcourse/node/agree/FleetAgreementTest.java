package org.waxwingcourse.node.agree;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.config.store.ConfigurationKeys;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.store.KeyRange;

class FleetAgreementTest {
  private static final int NODES = 5;
  private static final Rate RATE = Rate.of(50, 20);

  @Test
  void everyNodeAuthenticatesAndAdmitsAndRevokedKeyEndsSessions() {
    try (AgreementFleet fleet = AgreementFleet.startFleet(NODES, 2)) {
      awaitReady(fleet);
      for (int i = 0; i < NODES; i++) {
        int node = i;
        assertThat(keyWorks(fleet, node, "key-0")).isTrue();
        AgreementFleet.await("admission", () -> fleet.admits(node, "org-0"));
      }
      AtomicInteger open = new AtomicInteger(NODES);
      KeyHash key = KeyHash.ofKey("key-0");
      fleet.nodes.forEach(n -> n.authenticator().open(key, open::decrementAndGet));
      fleet.apply(AgreementFleet.configuration(2, RATE, "key-0"));
      AgreementFleet.await("withdrawal", () -> open.get() == 0);
      for (int i = 0; i < NODES; i++) {
        assertThat(keyWorks(fleet, i, "key-0")).isFalse();
        assertThat(keyWorks(fleet, i, "key-1")).isTrue();
      }
    }
  }

  @Test
  void readsDetectChangesWhenWatchesAreSilent() {
    try (AgreementFleet fleet = AgreementFleet.startFleet(NODES, 2)) {
      awaitReady(fleet);
      fleet.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
      fleet.apply(AgreementFleet.configuration(3, RATE));
      AgreementFleet.await("new version", () -> inForce(fleet, fleet.revision()));
    }
  }

  @Test
  void nodeStartedDuringStoreOutageGetsConfigurationFromOtherHosts() {
    try (AgreementFleet fleet = AgreementFleet.startFleet(NODES, 2)) {
      awaitReady(fleet);
      fleet.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
      fleet.nodes.get(2).stop();
      fleet.nodes.set(2, fleet.startNode(2));
      AgreementFleet.await("trust from the others", () -> keyWorks(fleet, 2, "key-1"));
      assertThat(fleet.nodes.get(2).status().versions().configuration())
          .isEqualTo(fleet.revision());
    }
  }

  @Test
  void isolatedNodeRejectsRequestsAndRecovers() {
    try (AgreementFleet fleet = AgreementFleet.startFleet(3, 2)) {
      awaitReady(fleet);
      fleet.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
      fleet.peers.disconnected.add(AgreementFleet.host(0));
      AgreementFleet.await("lapse", () -> !keyWorks(fleet, 0, "key-1"));
      AgreementFleet.await(
          "majority", () -> keyWorks(fleet, 1, "key-1") && keyWorks(fleet, 2, "key-1"));
      assertThat(fleet.admits(0, "org-1")).isFalse();
      fleet.peers.disconnected.clear();
      AgreementFleet.await("return", () -> keyWorks(fleet, 0, "key-1"));
    }
  }

  @Test
  void plannedStopRemovesHostFromRoster() {
    try (AgreementFleet fleet = AgreementFleet.startFleet(3, 1)) {
      awaitReady(fleet);
      Revision before = fleet.nodes.get(0).status().versions().roster();
      fleet.nodes.get(2).stop();
      assertThat(storedRoster(fleet).isAfter(before)).isTrue();
      AgreementFleet.await(
          "roster without the stopped host",
          () -> fleet.nodes.get(0).status().versions().roster().isAfter(before));
    }
  }

  private static Revision storedRoster(AgreementFleet fleet) {
    return fleet
        .store
        .read(KeyRange.ofKey(ConfigurationKeys.ROSTER))
        .join()
        .get()
        .first()
        .orElseThrow()
        .modified();
  }

  private static void awaitReady(AgreementFleet fleet) {
    AgreementFleet.await(
        "readiness",
        () ->
            fleet.nodes.stream().allMatch(FleetAgreement::isReady)
                && fleet.nodes.get(0).rosterSize() == fleet.nodes.size());
  }

  private static boolean inForce(AgreementFleet fleet, Revision revision) {
    return fleet.nodes.stream()
        .allMatch(n -> n.status().versions().configuration().equals(revision));
  }

  private static boolean keyWorks(AgreementFleet fleet, int node, String key) {
    return fleet.nodes.get(node).authenticator().authenticate(KeyHash.ofKey(key)).isRight();
  }
}
