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
  void everyNodeAuthenticatesAndAdmitsAndAWithdrawnKeyEndsItsSessions() {
    try (AgreeFleet fleet = AgreeFleet.started(NODES, 2)) {
      awaitReady(fleet);
      for (int i = 0; i < NODES; i++) {
        int node = i;
        assertThat(works(fleet, node, "key-0")).isTrue();
        AgreeFleet.await("admission", () -> fleet.admits(node, "org-0"));
      }
      AtomicInteger open = new AtomicInteger(NODES);
      KeyHash key = KeyHash.ofKey("key-0");
      fleet.nodes.forEach(n -> n.authenticator().open(key, open::decrementAndGet));
      fleet.apply(AgreeFleet.configuration(2, RATE, "key-0"));
      AgreeFleet.await("withdrawal", () -> open.get() == 0);
      for (int i = 0; i < NODES; i++) {
        assertThat(works(fleet, i, "key-0")).isFalse();
        assertThat(works(fleet, i, "key-1")).isTrue();
      }
    }
  }

  @Test
  void silentWatchesAreFoundOutByReads() {
    try (AgreeFleet fleet = AgreeFleet.started(NODES, 2)) {
      awaitReady(fleet);
      fleet.store.setFaults(StoreFaults.NONE.withWatchSilent(true));
      fleet.apply(AgreeFleet.configuration(3, RATE));
      AgreeFleet.await("new version", () -> inForce(fleet, fleet.revision()));
    }
  }

  @Test
  void nodeThatStartsInAnOutageTakesTheConfigurationFromTheOthers() {
    try (AgreeFleet fleet = AgreeFleet.started(NODES, 2)) {
      awaitReady(fleet);
      fleet.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
      fleet.nodes.get(2).stop();
      fleet.nodes.set(2, fleet.start(2));
      AgreeFleet.await("trust from the others", () -> works(fleet, 2, "key-1"));
      assertThat(fleet.nodes.get(2).status().versions().configuration())
          .isEqualTo(fleet.revision());
    }
  }

  @Test
  void nodeCutOffFromAllRefusesAndComesBack() {
    try (AgreeFleet fleet = AgreeFleet.started(3, 2)) {
      awaitReady(fleet);
      fleet.store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.SILENT));
      fleet.peers.cut.add(AgreeFleet.host(0));
      AgreeFleet.await("lapse", () -> !works(fleet, 0, "key-1"));
      AgreeFleet.await("majority", () -> works(fleet, 1, "key-1") && works(fleet, 2, "key-1"));
      assertThat(fleet.admits(0, "org-1")).isFalse();
      fleet.peers.cut.clear();
      AgreeFleet.await("return", () -> works(fleet, 0, "key-1"));
    }
  }

  @Test
  void plannedStopGivesSharesBack() {
    try (AgreeFleet fleet = AgreeFleet.started(3, 1)) {
      awaitReady(fleet);
      Revision before = fleet.nodes.get(0).status().versions().roster();
      fleet.nodes.get(2).stop();
      assertThat(storedRoster(fleet).isAfter(before)).isTrue();
      AgreeFleet.await(
          "roster without the stopped host",
          () -> fleet.nodes.get(0).status().versions().roster().isAfter(before));
    }
  }

  private static Revision storedRoster(AgreeFleet fleet) {
    return fleet
        .store
        .read(KeyRange.ofKey(ConfigurationKeys.ROSTER))
        .join()
        .get()
        .first()
        .orElseThrow()
        .modified();
  }

  private static void awaitReady(AgreeFleet fleet) {
    AgreeFleet.await(
        "readiness",
        () ->
            fleet.nodes.stream().allMatch(FleetAgreement::isReady)
                && fleet.nodes.get(0).listed() == fleet.nodes.size());
  }

  private static boolean inForce(AgreeFleet fleet, Revision revision) {
    return fleet.nodes.stream()
        .allMatch(n -> n.status().versions().configuration().equals(revision));
  }

  private static boolean works(AgreeFleet fleet, int node, String key) {
    return fleet.nodes.get(node).authenticator().authenticate(KeyHash.ofKey(key)).isRight();
  }
}
