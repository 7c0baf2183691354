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
 * Borrows tokens from the holders of one organisation's shares. It sends one request at a time and
 * records which holders have no tokens. Not thread-safe.
 */
final class Borrower {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(100);
  private static final Duration UNRESPONSIVE_BACKOFF = Duration.ofMillis(500);
  private static final Duration MIN_EMPTY_BACKOFF = Duration.ofMillis(20);

  /** The demand of a window divided by this is borrowed in advance. */
  private static final int PREFETCH_DIVISOR = 4;

  private static final Duration DEMAND_WINDOW = Duration.ofMillis(200);

  private final OrganisationId organisation;
  private final boolean spareOnly;
  private final RandomGenerator random;
  private final BiConsumer<HostId, RateMessage> send;
  private final BorrowedTokens borrowedTokens;
  private final Map<HostId, Instant> skipUntil = new HashMap<>();
  private Optional<PendingRequest> pendingRequest = Optional.empty();
  private List<HostId> holders = List.of();
  private Instant windowEnd = Instant.MIN;
  private int borrowedInWindow;
  private int recentDemand;

  /**
   * Creates a borrower without tokens.
   *
   * @param spareOnly whether to borrow only tokens that lenders do not reserve for online requests
   */
  Borrower(
      OrganisationId organisation,
      boolean spareOnly,
      RandomGenerator random,
      BiConsumer<HostId, RateMessage> send) {
    this.organisation = organisation;
    this.spareOnly = spareOnly;
    this.random = random;
    this.send = send;
    this.borrowedTokens = new BorrowedTokens(organisation, send);
  }

  private record PendingRequest(long id, HostId holder, Instant sentAt) {}

  BorrowedTokens borrowedTokens() {
    return borrowedTokens;
  }

  /** Replaces the holders to borrow from, which must not include this host. */
  void setHolders(List<HostId> newHolders) {
    holders = newHolders;
    skipUntil.keySet().retainAll(newHolders);
  }

  /** Returns whether a request is pending. */
  boolean isRequestPending() {
    return pendingRequest.isPresent();
  }

  /** Returns whether the pending request has the given identifier. */
  boolean isAwaitingGrant(long requestId) {
    return pendingRequest.filter(a -> a.id() == requestId).isPresent();
  }

  /**
   * Requests tokens from a holder that may have some, unless a request is pending. Returns false if
   * there is no such holder now.
   */
  boolean requestTokens(int requests, long missingAmount, Instant now) {
    if (pendingRequest.isPresent()) {
      return true;
    }
    Optional<HostId> holder = selectHolder(now);
    if (holder.isEmpty()) {
      return false;
    }
    long id = random.nextLong();
    pendingRequest = Optional.of(new PendingRequest(id, holder.get(), now));
    long prefetch = updateDemand(now) * TokenBucket.TOKEN / PREFETCH_DIVISOR;
    long wanted = missingAmount + Math.max(0, requests - 1) * TokenBucket.TOKEN + prefetch;
    send.accept(holder.get(), new RateMessage.Ask(id, organisation, wanted, spareOnly));
    return true;
  }

  /**
   * Handles the grant of a holder; tokens of a grant that is not expected are returned immediately.
   */
  void onGrant(HostId from, RateMessage.Grant grant, Instant now) {
    Optional<PendingRequest> matching =
        pendingRequest.filter(a -> a.id() == grant.ask() && a.holder().equals(from));
    if (matching.isEmpty()) {
      if (grant.amount() > 0) {
        borrowedTokens.returnUnspent(from, grant);
      }
      return;
    }
    pendingRequest = Optional.empty();
    if (grant.amount() > 0) {
      borrowedTokens.add(from, grant, matching.get().sentAt(), now);
    }
    if (grant.amount() < TokenBucket.TOKEN) {
      Duration backoff = longerOf(grant.nextToken(), MIN_EMPTY_BACKOFF);
      skipUntil.put(from, now.plus(backoff));
    }
  }

  /** Abandons the pending request if its response is overdue, and returns whether it was. */
  boolean expireRequest(Instant now) {
    Optional<PendingRequest> overdue =
        pendingRequest.filter(a -> !now.isBefore(a.sentAt().plus(RESPONSE_TIMEOUT)));
    overdue.ifPresent(a -> skipUntil.put(a.holder(), now.plus(UNRESPONSIVE_BACKOFF)));
    if (overdue.isPresent()) {
      pendingRequest = Optional.empty();
    }
    return overdue.isPresent();
  }

  /** Counts a request that was admitted with borrowed tokens. */
  void recordBorrowed(Instant now) {
    updateDemand(now);
    borrowedInWindow++;
  }

  /** Returns when a holder may have tokens again, or empty if there is no other holder. */
  Optional<Instant> nextAttemptAt() {
    return holders.stream()
        .map(h -> skipUntil.getOrDefault(h, Instant.MIN))
        .min(Instant::compareTo);
  }

  private int updateDemand(Instant now) {
    if (!now.isBefore(windowEnd)) {
      boolean recent = now.isBefore(windowEnd.plus(DEMAND_WINDOW));
      recentDemand = recent ? borrowedInWindow : 0;
      borrowedInWindow = 0;
      windowEnd = now.plus(DEMAND_WINDOW);
    }
    return recentDemand;
  }

  private Optional<HostId> selectHolder(Instant now) {
    List<HostId> available =
        holders.stream()
            .filter(h -> !now.isBefore(skipUntil.getOrDefault(h, Instant.MIN)))
            .toList();
    return available.isEmpty()
        ? Optional.empty()
        : Optional.of(available.get(random.nextInt(available.size())));
  }

  private static Duration longerOf(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }
}
