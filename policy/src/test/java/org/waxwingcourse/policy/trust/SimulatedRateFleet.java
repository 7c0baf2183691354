package org.waxwingcourse.policy.trust;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.rate.HolderPlacement;
import org.waxwingcourse.policy.rate.RateAdmission;
import org.waxwingcourse.policy.rate.RateMessage;

/**
 * Simulated hosts that admit requests and use the faulty network and store of a {@link
 * SimulatedFleet}.
 */
final class SimulatedRateFleet {
  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

  final SimulatedFleet fleet;
  final Map<OrganisationId, AdmissionHistory> histories = new HashMap<>();
  private final List<RateAdmission> admissions = new ArrayList<>();
  private final int holders;
  private final boolean lendingEnabled;
  private final long seed;

  SimulatedRateFleet(
      int size, long seed, int holders, boolean lendingEnabled, String... organisations) {
    this.fleet = new SimulatedFleet(size, seed, organisations);
    this.holders = holders;
    this.lendingEnabled = lendingEnabled;
    this.seed = seed;
    for (int i = 0; i < size; i++) {
      admissions.add(createAdmission(fleet.hosts.get(i)));
    }
  }

  static SimulatedRateFleet withLending(int size, long seed, String... organisations) {
    return new SimulatedRateFleet(
        size, seed, HolderPlacement.DEFAULT_HOLDER_COUNT, true, organisations);
  }

  /** Restarts a host, which loses its state. */
  void restart(int index) {
    admissions.set(index, createAdmission(fleet.restart(fleet.hosts.get(index))));
  }

  /** Offers an online request to a host and records the result when it is available. */
  void offer(int index, OrganisationId organisation, Runnable onRejection) {
    offer(index, organisation, WorkClass.ONLINE, onRejection);
  }

  /**
   * Offers a request of the given work class to a host and records the result when it is available.
   */
  void offer(int index, OrganisationId organisation, WorkClass work, Runnable onRejection) {
    SimulatedFleet.Host host = fleet.hosts.get(index);
    if (host.stopped || host.paused) {
      onRejection.run();
      return;
    }
    admissions
        .get(index)
        .admit(organisation, work, Deadline.after(fleet.clock, REQUEST_TIMEOUT))
        .thenAccept(refusal -> record(organisation, refusal, onRejection));
  }

  double overrun(OrganisationId organisation, Rate rate) {
    return histories.getOrDefault(organisation, new AdmissionHistory()).overrun(rate);
  }

  private void record(OrganisationId organisation, Option<Refusal> refusal, Runnable onRejection) {
    if (refusal.isEmpty()) {
      Instant now = fleet.clock.instant();
      histories.computeIfAbsent(organisation, o -> new AdmissionHistory()).add(now);
    } else {
      onRejection.run();
    }
  }

  private RateAdmission createAdmission(SimulatedFleet.Host host) {
    Random random = new Random(seed + host.incarnation * 1_000 + host.id.hashCode());
    RateAdmission admission =
        new RateAdmission(
            host.self,
            fleet.clock,
            host.evidence,
            random,
            (to, message) -> {
              if (lendingEnabled) {
                fleet.transmit(host.id, to, h -> admissionOf(h).onMessage(host.id, message));
              } else if (message instanceof RateMessage.Ask ask) {
                fleet.schedule(0, () -> admissionOf(host).onMessage(to, emptyGrantFor(ask)));
              }
            },
            holders);
    host.configurationFollower.onChange(admission::onConfiguration);
    host.rosterFollower.onChange(admission::onRoster);
    tick(host, admission);
    return admission;
  }

  private static RateMessage emptyGrantFor(RateMessage.Ask ask) {
    return new RateMessage.Grant(
        ask.id(), ask.organisation(), 0, 0, Duration.ZERO, REQUEST_TIMEOUT);
  }

  private RateAdmission admissionOf(SimulatedFleet.Host host) {
    return admissions.get(fleet.hosts.indexOf(host));
  }

  private void tick(SimulatedFleet.Host host, RateAdmission admission) {
    host.unlessPaused(admission::tick).run();
    fleet.schedule(TICK_INTERVAL_MILLIS, () -> tick(host, admission));
  }
}
