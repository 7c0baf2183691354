package org.waxwingcourse.policy.rate;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * Asks the holders of one organisation's shares for tokens, one at a time, and remembers which have
 * none. Not safe for use by several threads.
 */
final class Borrower {
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);
  private static final Duration SILENT_FOR = Duration.ofMillis(500);
  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(20);

  /** Tokens are borrowed for this part of a demand window ahead. */
  private static final int AHEAD_PART = 4;

  private static final Duration DEMAND_WINDOW = Duration.ofMillis(200);

  private final OrganisationId organisation;
  private final boolean spare;
  private final RandomGenerator random;
  private final BiConsumer<HostId, RateMessage> send;
  private final Wallet wallet;
  private final Map<HostId, Instant> emptyUntil = new HashMap<>();
  private Optional<Asked> asked = Optional.empty();
  private List<HostId> holders = List.of();
  private Instant windowEnds = Instant.MIN;
  private int borrowed;
  private int demand;

  /**
   * Creates a borrower that has nothing.
   *
   * @param spare whether to ask only for what online requests can spare
   */
  Borrower(
      OrganisationId organisation,
      boolean spare,
      RandomGenerator random,
      BiConsumer<HostId, RateMessage> send) {
    this.organisation = organisation;
    this.spare = spare;
    this.random = random;
    this.send = send;
    this.wallet = new Wallet(organisation, send);
  }

  private record Asked(long id, HostId holder, Instant at) {}

  Wallet wallet() {
    return wallet;
  }

  /** Follows a change of the holders; this host is not among them. */
  void lendersAre(List<HostId> newHolders) {
    holders = newHolders;
    emptyUntil.keySet().retainAll(newHolders);
  }

  /** Tells whether an answer is awaited. */
  boolean isWaiting() {
    return asked.isPresent();
  }

  /** Tells whether the grant for this ask is awaited. */
  boolean isAwaiting(long ask) {
    return asked.filter(a -> a.id() == ask).isPresent();
  }

  /** Asks the next holder that may have tokens; false if there is none now. */
  boolean ask(int requests, long missing, Instant now) {
    if (asked.isPresent()) {
      return true;
    }
    Optional<HostId> holder = nextHolder(now);
    if (holder.isEmpty()) {
      return false;
    }
    long id = random.nextLong();
    asked = Optional.of(new Asked(id, holder.get(), now));
    long ahead = demand(now) * TokenBucket.TOKEN / AHEAD_PART;
    long wanted = missing + Math.max(0, requests - 1) * TokenBucket.TOKEN + ahead;
    send.accept(holder.get(), new RateMessage.Ask(id, organisation, wanted, spare));
    return true;
  }

  /** A holder answers; tokens that were not awaited go straight back. */
  void onGrant(HostId from, RateMessage.Grant grant, Instant now) {
    Optional<Asked> match = asked.filter(a -> a.id() == grant.ask() && a.holder().equals(from));
    if (match.isEmpty()) {
      if (grant.amount() > 0) {
        wallet.refuse(from, grant);
      }
      return;
    }
    asked = Optional.empty();
    if (grant.amount() > 0) {
      wallet.add(from, grant, match.get().at(), now);
    }
    if (grant.amount() < TokenBucket.TOKEN) {
      Duration pause = longer(grant.nextToken(), SHORTEST_PAUSE);
      emptyUntil.put(from, now.plus(pause));
    }
  }

  /** Gives up on an answer that is overdue; true if there was one. */
  boolean timeOut(Instant now) {
    Optional<Asked> late = asked.filter(a -> !now.isBefore(a.at().plus(ANSWER_TIMEOUT)));
    late.ifPresent(a -> emptyUntil.put(a.holder(), now.plus(SILENT_FOR)));
    if (late.isPresent()) {
      asked = Optional.empty();
    }
    return late.isPresent();
  }

  /** Counts a request that was admitted with borrowed tokens. */
  void countBorrowed(Instant now) {
    demand(now);
    borrowed++;
  }

  /** Returns when some holder may have tokens again, empty if there is no other holder. */
  Optional<Instant> nextChance() {
    return holders.stream()
        .map(h -> emptyUntil.getOrDefault(h, Instant.MIN))
        .min(Instant::compareTo);
  }

  private int demand(Instant now) {
    if (!now.isBefore(windowEnds)) {
      boolean recent = now.isBefore(windowEnds.plus(DEMAND_WINDOW));
      demand = recent ? borrowed : 0;
      borrowed = 0;
      windowEnds = now.plus(DEMAND_WINDOW);
    }
    return demand;
  }

  private Optional<HostId> nextHolder(Instant now) {
    List<HostId> open =
        holders.stream()
            .filter(h -> !now.isBefore(emptyUntil.getOrDefault(h, Instant.MIN)))
            .toList();
    return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
  }

  private static Duration longer(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }
}
