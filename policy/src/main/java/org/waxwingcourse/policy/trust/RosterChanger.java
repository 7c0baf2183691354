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
 * Keeps the stored roster in step with the hosts: adds this process and removes dead ones.
 *
 * <p>A roster is replaced in two steps. First a majority of it promises to extend it no longer;
 * then it is swapped in the store. Any two majorities share a host, so after the swap nobody can
 * gather votes for the old roster, and every right that rests on it ends within {@link
 * Evidence#VALIDITY}.
 */
public final class RosterChanger {
  /** How long a host keeps its promise if the swap never shows. */
  static final Duration CLOSED_FOR = Duration.ofSeconds(10);

  private static final Duration VOTE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration REMOVE_AFTER = Duration.ofSeconds(3);
  private static final long MAX_WAIT_MILLIS = 1_500;

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
   * Creates the changer of one host.
   *
   * @param self this process
   * @param isDead whether a host is believed dead
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

  /** A replacement that gathers promises. */
  private record Proposal(long id, Roster old, Set<HostId> removed, Instant until) {}

  /** Proposes a change if one is due; called about once a second. */
  public synchronized void tick(boolean storeRead) {
    Instant now = clock.instant();
    if (proposal.filter(p -> now.isBefore(p.until())).isPresent() || !storeRead) {
      return;
    }
    proposal = Optional.empty();
    Roster old = roster.value().orElse(Roster.EMPTY);
    Set<HostId> removed = removable(old, now);
    boolean listed = old.lists(self.host(), self.incarnation());
    boolean due = leaving ? listed : !listed || !removed.isEmpty();
    if (!due || now.isBefore(nextAttempt)) {
      return;
    }
    nextAttempt = now.plusMillis(random.nextLong(MAX_WAIT_MILLIS)).plus(VOTE_TIMEOUT);
    propose(old, removed, now);
  }

  /** Takes this process off the roster as soon as it can; it is not added again. */
  public synchronized void leave() {
    leaving = true;
    nextAttempt = Instant.MIN;
  }

  /** A host has promised. */
  public synchronized void onClosed(HostId from, TrustMessage.RosterClosed vote) {
    Instant now = clock.instant();
    proposal
        .filter(p -> p.id() == vote.id() && now.isBefore(p.until()))
        .filter(p -> p.old().find(from).isPresent())
        .ifPresent(p -> count(p, from));
  }

  private void propose(Roster old, Set<HostId> removed, Instant now) {
    Proposal next = new Proposal(random.nextLong(), old, removed, now.plus(VOTE_TIMEOUT));
    proposal = Optional.of(next);
    promises.clear();
    if (old.holders().isEmpty()) {
      swap(next);
      return;
    }
    TrustMessage close = new TrustMessage.CloseRoster(next.id(), old.revision());
    for (Holder h : old.holders()) {
      if (!h.host().equals(self.host())) {
        port.send(h.host(), close);
      }
    }
    if (old.find(self.host()).isPresent() && agreement.closeRoster(old.revision())) {
      count(next, self.host());
    }
  }

  private void count(Proposal p, HostId from) {
    promises.add(from);
    if (p.old().isMajority(promises.size())) {
      proposal = Optional.empty();
      swap(p);
    }
  }

  private void swap(Proposal p) {
    Optional<Holder> added = leaving ? Optional.empty() : Optional.of(self);
    Set<HostId> removed = new HashSet<>(p.removed());
    if (leaving) {
      removed.add(self.host());
    }
    port.writeRoster(p.old().changed(removed, added));
  }

  private Set<HostId> removable(Roster old, Instant now) {
    Set<HostId> removed = new HashSet<>();
    for (Holder h : old.holders()) {
      HostId host = h.host();
      if (host.equals(self.host()) || !isDead.test(host)) {
        deadSince.remove(host);
        continue;
      }
      Instant since = deadSince.computeIfAbsent(host, x -> now);
      long wait = random.nextLong(MAX_WAIT_MILLIS);
      if (now.isAfter(since.plus(REMOVE_AFTER).plusMillis(wait))) {
        removed.add(host);
      }
    }
    return removed;
  }
}
