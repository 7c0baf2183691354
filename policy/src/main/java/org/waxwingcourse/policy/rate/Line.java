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
 * Requests of one urgency that wait for tokens of one organisation: first from this host's own
 * share, down to a reserve that is left for more urgent ones, then from loans. Guarded by the lock
 * of its organisation's shard.
 */
final class Line {
  private static final int MAX_WAITING = 256;

  /** How long a request waits for a token that is due soon. */
  private static final Duration PATIENCE = Duration.ofMillis(200);

  private final OrganisationId organisation;
  private final Lender lender;
  private final Borrower borrower;
  private final LongSupplier reserve;
  private final Consumer<Runnable> effects;
  private final Deque<Waiting> waiting = new ArrayDeque<>();

  /**
   * Creates an empty line.
   *
   * @param reserve what the line leaves in the lender's bucket, in billionths of a token
   * @param effects takes what is to be done outside the lock
   */
  Line(
      OrganisationId organisation,
      Lender lender,
      Borrower borrower,
      LongSupplier reserve,
      Consumer<Runnable> effects) {
    this.organisation = organisation;
    this.lender = lender;
    this.borrower = borrower;
    this.reserve = reserve;
    this.effects = effects;
  }

  private record Waiting(CompletableFuture<Option<Refusal>> answer, Deadline deadline) {
    boolean outlasts(Instant time) {
      return time.isBefore(deadline.at());
    }
  }

  Borrower borrower() {
    return borrower;
  }

  /** Tells whether something here falls due by itself. */
  boolean isBorrowing() {
    return !waiting.isEmpty() || borrower.isWaiting() || !borrower.wallet().isEmpty();
  }

  void admit(CompletableFuture<Option<Refusal>> answer, Deadline deadline, Instant now) {
    lender.tick(now);
    if (waiting.isEmpty() && spendOne(now)) {
      finish(answer, Option.none());
      return;
    }
    if (waiting.size() >= MAX_WAITING || deadline.isPast(now)) {
      refuse(answer, now);
      return;
    }
    waiting.add(new Waiting(answer, deadline.earlier(Deadline.at(now.plus(PATIENCE)))));
    serve(now);
  }

  void tick(Instant now) {
    borrower.wallet().tick(now);
    if (borrower.timeOut(now) || !waiting.isEmpty()) {
      serve(now);
    }
  }

  /** Refuses every request that waits, with the given refusal. */
  void refuseAll(Refusal refusal) {
    while (!waiting.isEmpty()) {
      finish(waiting.remove().answer(), Option.of(refusal));
    }
  }

  void finish(CompletableFuture<Option<Refusal>> answer, Option<Refusal> result) {
    effects.accept(() -> answer.complete(result));
  }

  void serve(Instant now) {
    while (!waiting.isEmpty()) {
      Waiting first = waiting.peek();
      if (first.deadline().isPast(now)) {
        refuse(waiting.remove().answer(), now);
      } else if (spendOne(now)) {
        finish(waiting.remove().answer(), Option.none());
      } else if (borrower.ask(waiting.size(), missing(now), now)) {
        return;
      } else if (first.outlasts(nextChance(now))) {
        return;
      } else {
        refuse(waiting.remove().answer(), now);
      }
    }
  }

  private boolean spendOne(Instant now) {
    if (missing(now) > 0) {
      return false;
    }
    long borrowed = borrower.wallet().take(TokenBucket.TOKEN, now);
    if (borrowed > 0) {
      borrower.countBorrowed(now);
    }
    lender.bucket().take(TokenBucket.TOKEN - borrowed, now);
    return true;
  }

  private long missing(Instant now) {
    long own = Math.max(0, lender.bucket().amount(now) - reserve.getAsLong());
    return Math.max(0, TokenBucket.TOKEN - own - borrower.wallet().amount(now));
  }

  private void refuse(CompletableFuture<Option<Refusal>> answer, Instant now) {
    Instant retryAt = nextChance(now);
    String message = "organisation \"" + organisation + "\" is over its rate";
    finish(answer, Option.of(new Refusal(RefusalCode.RATE_LIMITED, message, retryAt)));
  }

  private Instant nextChance(Instant now) {
    long held = Math.max(lender.bucket().amount(now), reserve.getAsLong());
    Instant own = now.plus(lender.bucket().timeUntil(held + missing(now), now));
    Instant at = borrower.nextChance().filter(c -> c.isBefore(own)).orElse(own);
    return at.isBefore(now) ? now : at;
  }
}
