package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.wire.fleet.Pong;

/**
 * The hosts that may coordinate, in the order of their rank, and what their pongs tell of them. The
 * host whose process registered first has the highest rank.
 *
 * <p>Safe for use by several threads.
 */
final class Candidates {
  /** A coordinator that was reported lost and does not answer a probe within this time is left. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(150);

  /**
   * A host counts as reading the store itself if it has done so within this time; two reads and a
   * margin.
   */
  private static final Duration MAX_OWN_READ_AGE = Duration.ofMillis(1500);

  /**
   * The pongs to one round of pings are received within this time; a few round trips within a
   * region.
   */
  private static final Duration PONG_SPREAD = Duration.ofMillis(20);

  /**
   * The same while many hosts start together, short of processor time; the first candidate is
   * waited for as long, since a change of coordinator soon after costs more.
   */
  private static final Duration STARTING_PONG_SPREAD = Duration.ofMillis(120);

  /** Rank of a process that has not registered. */
  private static final Revision LAST_RANK = Revision.of(Long.MAX_VALUE);

  private final HostId self;
  private final StoreView storeView;
  private final Supplier<Revision> ownRegistration;
  private final Map<HostId, LastPong> lastPongs = new HashMap<>();
  private final Map<HostId, Instant> probedAt = new HashMap<>();
  private Instant firstPongAt;

  /**
   * Creates the candidates as {@code self} sees them.
   *
   * @param ownRegistration supplies the revision at which this process registered, none before
   */
  Candidates(HostId self, StoreView storeView, Supplier<Revision> ownRegistration) {
    this.self = self;
    this.storeView = storeView;
    this.ownRegistration = ownRegistration;
  }

  /**
   * A host's last pong.
   *
   * @param receivedAt when it was received
   * @param readsStore whether the host reads the store itself
   * @param boot the process that sent it
   * @param registeredAt revision at which that process registered, none before it has
   */
  private record LastPong(
      Instant receivedAt, boolean readsStore, long boot, Revision registeredAt) {}

  /** A host that may coordinate; the one that registered first has the highest rank. */
  private record Candidate(HostId host, Revision registeredAt) {}

  Revision ownRegistration() {
    return ownRegistration.get();
  }

  synchronized void recordPong(HostId from, Pong pong, Instant now) {
    firstPongAt = firstPongAt == null ? now : firstPongAt;
    lastPongs.put(
        from,
        new LastPong(now, pong.getInContact(), pong.getBoot(), Revision.of(pong.getRegistered())));
    probedAt.remove(from);
  }

  /** Records that a host is probed; returns false if a probe is under way. */
  synchronized boolean recordProbe(HostId host, Instant now) {
    return probedAt.putIfAbsent(host, now) == null;
  }

  /** Returns whether any host has answered since this process started. */
  synchronized boolean hasPong() {
    return firstPongAt != null;
  }

  /** Returns whether the hosts have had time to answer the first pings of a starting host. */
  synchronized boolean haveAnswered(Instant now) {
    if (firstPongAt == null || !now.isAfter(firstPongAt.plus(PONG_SPREAD))) {
      return false;
    }
    HostId first = order().get(0);
    return first.equals(self)
        || lastPongs.containsKey(first)
        || now.isAfter(firstPongAt.plus(STARTING_PONG_SPREAD));
  }

  /**
   * Returns the hosts that may coordinate, the longest registered first. After a restart the entry
   * of a host's previous process remains until its lease expires, with a rank that the host no
   * longer has; a pong tells when the new process registered.
   */
  synchronized List<HostId> order() {
    List<Candidate> candidates = new ArrayList<>();
    for (FleetHost host : storeView.fleetHosts().inRegistrationOrder()) {
      if (!host.id().equals(self)) {
        toCandidate(host).forEach(candidates::add);
      }
    }
    Revision own = ownRegistration.get();
    candidates.add(new Candidate(self, own.equals(Revision.NONE) ? LAST_RANK : own));
    candidates.sort(Comparator.comparing(Candidate::registeredAt).thenComparing(Candidate::host));
    return candidates.stream().map(Candidate::host).toList();
  }

  private Option<Candidate> toCandidate(FleetHost host) {
    LastPong last = lastPongs.get(host.id());
    if (last == null || last.boot == host.boot()) {
      return Option.when(!host.leaving(), () -> new Candidate(host.id(), host.registeredAt()));
    }
    boolean isRegistered = !last.registeredAt.equals(Revision.NONE);
    return Option.when(isRegistered, () -> new Candidate(host.id(), last.registeredAt));
  }

  synchronized boolean isAnswering(HostId host, Instant now, Duration timeout) {
    LastPong last = lastPongs.get(host);
    Instant probed = probedAt.get(host);
    boolean missedProbe = probed != null && now.isAfter(probed.plus(PROBE_TIMEOUT));
    return last != null && !missedProbe && now.isBefore(last.receivedAt.plus(timeout));
  }

  synchronized boolean isInContact(HostId host) {
    if (host.equals(self)) {
      return storeView.evidence().isOwnReadWithin(MAX_OWN_READ_AGE);
    }
    LastPong last = lastPongs.get(host);
    return last != null && last.readsStore;
  }

  /**
   * Returns whether this host has started in a fleet that runs, but does not hear its coordinator
   * yet: it would choose itself although a process that the store lists with a higher rank answers.
   * A host that coordinates only for itself may hand out no more than its share of each rate.
   */
  synchronized boolean isJoining(HostId chosen, List<HostId> order, Instant now, Duration timeout) {
    return chosen.equals(self)
        && order.subList(0, order.indexOf(self)).stream()
            .anyMatch(h -> isAnswering(h, now, timeout) && isListed(h));
  }

  /** Returns whether the process that has answered for a host is the one that the store lists. */
  synchronized boolean isListed(HostId host) {
    return storeView.fleetHosts().findHost(host).exists(h -> h.boot() == lastPongs.get(host).boot);
  }
}
