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

/** Hosts that admit requests over the faulty network and store of a {@link TrustFleet}. */
final class RateFleet {
  private static final long TICK_MILLIS = 50;
  private static final Duration PATIENCE = Duration.ofSeconds(1);

  final TrustFleet fleet;
  final Map<OrganisationId, AdmissionHistory> histories = new HashMap<>();
  private final List<RateAdmission> admissions = new ArrayList<>();
  private final int holders;
  private final boolean lending;
  private final long seed;

  RateFleet(int size, long seed, int holders, boolean lending, String... organisations) {
    this.fleet = new TrustFleet(size, seed, organisations);
    this.holders = holders;
    this.lending = lending;
    this.seed = seed;
    for (int i = 0; i < size; i++) {
      admissions.add(attach(fleet.hosts.get(i)));
    }
  }

  static RateFleet chosen(int size, long seed, String... organisations) {
    return new RateFleet(size, seed, HolderPlacement.DEFAULT_HOLDER_COUNT, true, organisations);
  }

  /** Kills a host, which comes back empty. */
  void restart(int index) {
    admissions.set(index, attach(fleet.restart(fleet.hosts.get(index))));
  }

  /** Offers one request to a host; the answer is recorded when it comes. */
  void offer(int index, OrganisationId organisation, Runnable refused) {
    offer(index, organisation, WorkClass.ONLINE, refused);
  }

  /** Offers one request of either urgency. */
  void offer(int index, OrganisationId organisation, WorkClass work, Runnable refused) {
    TrustFleet.Host host = fleet.hosts.get(index);
    if (host.stopped || host.paused) {
      refused.run();
      return;
    }
    admissions
        .get(index)
        .admit(organisation, work, Deadline.after(fleet.clock, PATIENCE))
        .thenAccept(answer -> record(organisation, answer, refused));
  }

  double overrun(OrganisationId organisation, Rate rate) {
    return histories.getOrDefault(organisation, new AdmissionHistory()).overrun(rate);
  }

  private void record(OrganisationId organisation, Option<Refusal> answer, Runnable refused) {
    if (answer.isEmpty()) {
      Instant now = fleet.clock.instant();
      histories.computeIfAbsent(organisation, o -> new AdmissionHistory()).add(now);
    } else {
      refused.run();
    }
  }

  private RateAdmission attach(TrustFleet.Host host) {
    Random random = new Random(seed + host.incarnation * 1_000 + host.id.hashCode());
    RateAdmission admission =
        new RateAdmission(
            host.self,
            fleet.clock,
            host.evidence,
            random,
            (to, message) -> {
              if (lending) {
                fleet.transmit(host.id, to, h -> at(h).onMessage(host.id, message));
              } else if (message instanceof RateMessage.Ask ask) {
                fleet.later(0, () -> at(host).onMessage(to, refusalOf(ask)));
              }
            },
            holders);
    host.follower.onChange(admission::onConfiguration);
    host.rosterFollower.onChange(admission::onRoster);
    tick(host, admission);
    return admission;
  }

  private static RateMessage refusalOf(RateMessage.Ask ask) {
    return new RateMessage.Grant(ask.id(), ask.organisation(), 0, 0, Duration.ZERO, PATIENCE);
  }

  private RateAdmission at(TrustFleet.Host host) {
    return admissions.get(fleet.hosts.indexOf(host));
  }

  private void tick(TrustFleet.Host host, RateAdmission admission) {
    host.deferred(admission::tick).run();
    fleet.later(TICK_MILLIS, () -> tick(host, admission));
  }
}
