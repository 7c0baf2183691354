package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.policy.configuration.DocumentFollower;

/**
 * Maintains the stored roster: adds this process and removes dead hosts.
 *
 * <p>A roster is replaced in two steps. First a majority of its hosts promise to stop extending it;
 * then it is replaced in the store by compare-and-swap. Any two majorities have a host in common,
 * so after the replacement no host can obtain a majority for the old roster, and every right that
 * depends on it expires within {@link Evidence#VALIDITY}.
 */
public final class RosterChanger {
  /** How long a host keeps its promise if it does not receive the new roster. */
  static final Duration PROMISE_DURATION = Duration.ofSeconds(10);

  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration REMOVAL_DELAY = Duration.ofSeconds(3);
  private static final long MAX_JITTER_MILLIS = 1_500;

  private final Holder self;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final TrustPort port;
  private final DocumentFollower<Roster> roster;
  private final Agreement agreement;
  private final Predicate<HostId> isDead;
  private final Map<HostId, Instant> deadSince = new HashMap<>();
  private final Set<HostId> promises = new HashSet<>();
  private Optional<Proposal> proposal = Optional.empty();
  private Instant nextAttempt = Instant.MIN;
  private boolean leaving;

  /**
   * Creates the roster changer of one host.
   *
   * @param self this process
   * @param isDead returns whether a host is considered dead
   */
  public RosterChanger(
      Holder self,
      InstantSource clock,
      RandomGenerator random,
      TrustPort port,
      DocumentFollower<Roster> roster,
      Agreement agreement,
      Predicate<HostId> isDead) {
    this.self = self;
    this.clock = clock;
    this.random = random;
    this.port = port;
    this.roster = roster;
    this.agreement = agreement;
    this.isDead = isDead;
  }

  /** A replacement for which promises are being collected. */
  private record Proposal(long id, Roster old, Set<HostId> removed, Instant deadline) {}

  /** Proposes a change if one is due. Must be called about once per second. */
  public synchronized void tick(boolean storeResponding) {
    Instant now = clock.instant();
    if (proposal.filter(p -> now.isBefore(p.deadline())).isPresent() || !storeResponding) {
      return;
    }
    proposal = Optional.empty();
    Roster old = roster.value().orElse(Roster.EMPTY);
    Set<HostId> removed = hostsToRemove(old, now);
    boolean listed = old.lists(self.host(), self.incarnation());
    boolean due = leaving ? listed : !listed || !removed.isEmpty();
    if (!due || now.isBefore(nextAttempt)) {
      return;
    }
    nextAttempt = now.plusMillis(random.nextLong(MAX_JITTER_MILLIS)).plus(PROPOSAL_TIMEOUT);
    propose(old, removed, now);
  }

  /** Removes this process from the roster as soon as possible and does not add it again. */
  public synchronized void leave() {
    leaving = true;
    nextAttempt = Instant.MIN;
  }

  /** Handles the promise of a host. */
  public synchronized void onClosed(HostId from, TrustMessage.RosterClosed vote) {
    Instant now = clock.instant();
    proposal
        .filter(p -> p.id() == vote.id() && now.isBefore(p.deadline()))
        .filter(p -> p.old().find(from).isPresent())
        .ifPresent(p -> countPromise(p, from));
  }

  private void propose(Roster old, Set<HostId> removed, Instant now) {
    Proposal next = new Proposal(random.nextLong(), old, removed, now.plus(PROPOSAL_TIMEOUT));
    proposal = Optional.of(next);
    promises.clear();
    if (old.holders().isEmpty()) {
      writeReplacement(next);
      return;
    }
    TrustMessage close = new TrustMessage.CloseRoster(next.id(), old.revision());
    for (Holder h : old.holders()) {
      if (!h.host().equals(self.host())) {
        port.send(h.host(), close);
      }
    }
    if (old.find(self.host()).isPresent() && agreement.closeRoster(old.revision())) {
      countPromise(next, self.host());
    }
  }

  private void countPromise(Proposal p, HostId from) {
    promises.add(from);
    if (p.old().isMajority(promises.size())) {
      proposal = Optional.empty();
      writeReplacement(p);
    }
  }

  private void writeReplacement(Proposal p) {
    Optional<Holder> added = leaving ? Optional.empty() : Optional.of(self);
    Set<HostId> removed = new HashSet<>(p.removed());
    if (leaving) {
      removed.add(self.host());
    }
    port.writeRoster(p.old().withChanges(removed, added));
  }

  private Set<HostId> hostsToRemove(Roster old, Instant now) {
    Set<HostId> removed = new HashSet<>();
    for (Holder h : old.holders()) {
      HostId host = h.host();
      if (host.equals(self.host()) || !isDead.test(host)) {
        deadSince.remove(host);
        continue;
      }
      Instant since = deadSince.computeIfAbsent(host, x -> now);
      long jitterMillis = random.nextLong(MAX_JITTER_MILLIS);
      if (now.isAfter(since.plus(REMOVAL_DELAY).plusMillis(jitterMillis))) {
        removed.add(host);
      }
    }
    return removed;
  }
}
