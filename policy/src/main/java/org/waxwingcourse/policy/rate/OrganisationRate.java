package org.waxwingcourse.policy.rate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;

/**
 * One organisation's tokens on this host: its own share, what it has borrowed, and the requests
 * that wait for an answer from another holder. Guarded by the lock of its shard; messages and
 * completions are collected and run by the shard after the lock is released.
 */
final class OrganisationRate {
  private static final int MAX_WAITING = 256;

  /** How long a request waits for a token that is due soon. */
  private static final Duration PATIENCE = Duration.ofMillis(200);

  private final OrganisationId organisation;
  private final RatePort port;
  private final Lender lender;
  private final Borrower borrower;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private List<Runnable> effects = new ArrayList<>();

  OrganisationRate(
      OrganisationId organisation, RandomGenerator random, RatePort port, Instant now) {
    this.organisation = organisation;
    this.port = port;
    this.lender = new Lender(now);
    this.borrower =
        new Borrower(organisation, random, (to, m) -> effects.add(() -> port.send(to, m)));
  }

  private record Waiting(CompletableFuture<Option<Refusal>> answer, Deadline deadline) {
    boolean outlasts(Instant time) {
      return time.isBefore(deadline.at());
    }
  }

  Lender lender() {
    return lender;
  }

  Borrower borrower() {
    return borrower;
  }

  /** Tells whether something here falls due by itself. */
  boolean isBorrowing() {
    return !waiting.isEmpty() || borrower.isWaiting() || !borrower.wallet().isEmpty();
  }

  /** Returns what is to be done outside the lock, and forgets it. */
  List<Runnable> takeEffects() {
    List<Runnable> taken = effects;
    effects = new ArrayList<>();
    return taken;
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

  void onAsk(HostId from, RateMessage.Ask ask, long grant, Duration valid, Instant now) {
    long amount = lender.lend(grant, ask.wanted(), now);
    Duration next = lender.bucket().timeUntil(TokenBucket.TOKEN, now);
    RateMessage answer = new RateMessage.Grant(ask.id(), organisation, grant, amount, valid, next);
    effects.add(() -> port.send(from, answer));
  }

  void onGrant(HostId from, RateMessage.Grant grant, Instant now) {
    borrower.onGrant(from, grant, now);
    serve(now);
  }

  void onReturn(RateMessage.Return returned, Instant now) {
    lender.settle(returned.grant(), returned.unspent(), now);
  }

  void tick(Instant now) {
    lender.tick(now);
    borrower.wallet().tick(now);
    if (borrower.timeOut(now) || !waiting.isEmpty()) {
      serve(now);
    }
  }

  /** Refuses a request, and every one that waits. */
  void refuse(CompletableFuture<Option<Refusal>> answer, Refusal refusal) {
    refuseAll(refusal);
    finish(answer, Option.of(refusal));
  }

  /** Refuses every request that waits, with the given refusal. */
  void refuseAll(Refusal refusal) {
    while (!waiting.isEmpty()) {
      finish(waiting.remove().answer(), Option.of(refusal));
    }
  }

  private void serve(Instant now) {
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
    long held = lender.bucket().amount(now) + borrower.wallet().amount(now);
    return Math.max(0, TokenBucket.TOKEN - held);
  }

  private void refuse(CompletableFuture<Option<Refusal>> answer, Instant now) {
    Instant retryAt = nextChance(now);
    String message = "organisation \"" + organisation + "\" is over its rate";
    finish(answer, Option.of(new Refusal(RefusalCode.RATE_LIMITED, message, retryAt)));
  }

  private Instant nextChance(Instant now) {
    Instant own =
        now.plus(lender.bucket().timeUntil(lender.bucket().amount(now) + missing(now), now));
    Instant at = borrower.nextChance().filter(c -> c.isBefore(own)).orElse(own);
    return at.isBefore(now) ? now : at;
  }

  private void finish(CompletableFuture<Option<Refusal>> answer, Option<Refusal> result) {
    effects.add(() -> answer.complete(result));
  }
}
