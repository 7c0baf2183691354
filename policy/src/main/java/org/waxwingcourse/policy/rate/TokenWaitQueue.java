package org.waxwingcourse.policy.rate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;

/**
 * Queue of the requests of one work class that wait for tokens of one organisation. Tokens come
 * from this host's own share, except for a reserve that is left to more urgent requests, and from
 * loans. Guarded by the lock of the organisation's shard.
 */
final class TokenWaitQueue {
  private static final int MAX_WAITING = 256;

  /** Longest time that a request waits for a token. */
  private static final Duration MAX_WAIT = Duration.ofMillis(200);

  private final OrganisationId organisation;
  private final Lender lender;
  private final Borrower borrower;
  private final LongSupplier reserve;
  private final Consumer<Runnable> deferredActions;
  private final Deque<WaitingRequest> waiting = new ArrayDeque<>();

  /**
   * Creates an empty queue.
   *
   * @param reserve amount that the queue leaves in the lender's bucket, in billionths of a token
   * @param deferredActions receives the actions that must run outside the lock
   */
  TokenWaitQueue(
      OrganisationId organisation,
      Lender lender,
      Borrower borrower,
      LongSupplier reserve,
      Consumer<Runnable> deferredActions) {
    this.organisation = organisation;
    this.lender = lender;
    this.borrower = borrower;
    this.reserve = reserve;
    this.deferredActions = deferredActions;
  }

  private record WaitingRequest(CompletableFuture<Option<Refusal>> decision, Deadline deadline) {
    boolean canWaitUntil(Instant time) {
      return time.isBefore(deadline.at());
    }
  }

  Borrower borrower() {
    return borrower;
  }

  /** Returns whether {@link #tick} must be called. */
  boolean needsTick() {
    return !waiting.isEmpty()
        || borrower.isRequestPending()
        || !borrower.borrowedTokens().isEmpty();
  }

  void admit(CompletableFuture<Option<Refusal>> decision, Deadline deadline, Instant now) {
    lender.tick(now);
    if (waiting.isEmpty() && trySpendToken(now)) {
      completeDecision(decision, Option.none());
      return;
    }
    if (waiting.size() >= MAX_WAITING || deadline.isPast(now)) {
      reject(decision, now);
      return;
    }
    waiting.add(new WaitingRequest(decision, deadline.earlier(Deadline.at(now.plus(MAX_WAIT)))));
    serveWaiting(now);
  }

  void tick(Instant now) {
    borrower.borrowedTokens().tick(now);
    if (borrower.expireRequest(now) || !waiting.isEmpty()) {
      serveWaiting(now);
    }
  }

  /** Rejects every waiting request with the given refusal. */
  void rejectAll(Refusal refusal) {
    while (!waiting.isEmpty()) {
      completeDecision(waiting.remove().decision(), Option.of(refusal));
    }
  }

  void completeDecision(CompletableFuture<Option<Refusal>> decision, Option<Refusal> result) {
    deferredActions.accept(() -> decision.complete(result));
  }

  void serveWaiting(Instant now) {
    while (!waiting.isEmpty()) {
      WaitingRequest first = waiting.peek();
      if (first.deadline().isPast(now)) {
        reject(waiting.remove().decision(), now);
      } else if (trySpendToken(now)) {
        completeDecision(waiting.remove().decision(), Option.none());
      } else if (borrower.requestTokens(waiting.size(), missingAmount(now), now)) {
        return;
      } else if (first.canWaitUntil(earliestAdmission(now))) {
        return;
      } else {
        reject(waiting.remove().decision(), now);
      }
    }
  }

  private boolean trySpendToken(Instant now) {
    if (missingAmount(now) > 0) {
      return false;
    }
    long borrowedAmount = borrower.borrowedTokens().take(TokenBucket.TOKEN, now);
    if (borrowedAmount > 0) {
      borrower.recordBorrowed(now);
    }
    lender.bucket().take(TokenBucket.TOKEN - borrowedAmount, now);
    return true;
  }

  private long missingAmount(Instant now) {
    long spendable = Math.max(0, lender.bucket().amount(now) - reserve.getAsLong());
    return Math.max(0, TokenBucket.TOKEN - spendable - borrower.borrowedTokens().amount(now));
  }

  private void reject(CompletableFuture<Option<Refusal>> decision, Instant now) {
    Instant retryAt = earliestAdmission(now);
    String message = "organisation \"" + organisation + "\" is over its rate";
    completeDecision(decision, Option.of(new Refusal(RefusalCode.RATE_LIMITED, message, retryAt)));
  }

  private Instant earliestAdmission(Instant now) {
    long held = Math.max(lender.bucket().amount(now), reserve.getAsLong());
    Instant refilledAt = now.plus(lender.bucket().timeUntil(held + missingAmount(now), now));
    Instant at = borrower.nextAttemptAt().filter(c -> c.isBefore(refilledAt)).orElse(refilledAt);
    return at.isBefore(now) ? now : at;
  }
}
