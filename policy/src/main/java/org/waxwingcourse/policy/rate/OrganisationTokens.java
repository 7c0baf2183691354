package org.waxwingcourse.policy.rate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * One organisation's tokens on this host: its own share, borrowed tokens, and the requests that
 * wait for tokens. Batch work must leave a reserve of a share to online requests, on this host and
 * on the hosts from which it borrows. Guarded by the lock of its shard. Messages and completions
 * are collected and run after the lock has been released.
 */
final class OrganisationTokens {
  private final OrganisationId organisation;
  private final RatePort port;
  private final Lender lender;
  private final TokenWaitQueue onlineQueue;
  private final TokenWaitQueue batchQueue;
  private List<Runnable> deferredActions = new ArrayList<>();

  OrganisationTokens(
      OrganisationId organisation, RandomGenerator random, RatePort port, Instant now) {
    this.organisation = organisation;
    this.port = port;
    this.lender = new Lender(now);
    this.onlineQueue =
        new TokenWaitQueue(
            organisation, lender, borrower(random, false), () -> 0, r -> deferredActions.add(r));
    this.batchQueue =
        new TokenWaitQueue(
            organisation,
            lender,
            borrower(random, true),
            lender::reserve,
            r -> deferredActions.add(r));
  }

  private Borrower borrower(RandomGenerator random, boolean spareOnly) {
    return new Borrower(
        organisation, spareOnly, random, (to, m) -> deferredActions.add(() -> port.send(to, m)));
  }

  Lender lender() {
    return lender;
  }

  /** Replaces the other hosts that hold shares. */
  void setHolders(List<HostId> holders) {
    onlineQueue.borrower().setHolders(holders);
    batchQueue.borrower().setHolders(holders);
  }

  /** Returns whether {@link #tick} must be called. */
  boolean needsTick() {
    return onlineQueue.needsTick() || batchQueue.needsTick();
  }

  /** Returns the actions that must run outside the lock and removes them. */
  List<Runnable> takeDeferredActions() {
    List<Runnable> taken = deferredActions;
    deferredActions = new ArrayList<>();
    return taken;
  }

  void admit(
      WorkClass work, CompletableFuture<Option<Refusal>> decision, Deadline deadline, Instant now) {
    TokenWaitQueue queue = work == WorkClass.ONLINE ? onlineQueue : batchQueue;
    queue.admit(decision, deadline, now);
  }

  void onAsk(HostId from, RateMessage.Ask ask, long grant, Duration validity, Instant now) {
    long reserve = ask.spare() ? lender.reserve() : 0;
    long amount = lender.lend(grant, ask.wanted(), reserve, now);
    Duration nextToken = lender.bucket().timeUntil(reserve + TokenBucket.TOKEN, now);
    RateMessage answer =
        new RateMessage.Grant(ask.id(), organisation, grant, amount, validity, nextToken);
    deferredActions.add(() -> port.send(from, answer));
  }

  void onGrant(HostId from, RateMessage.Grant grant, Instant now) {
    TokenWaitQueue queue =
        batchQueue.borrower().isAwaitingGrant(grant.ask()) ? batchQueue : onlineQueue;
    queue.borrower().onGrant(from, grant, now);
    queue.serveWaiting(now);
  }

  void onReturn(RateMessage.Return returned, Instant now) {
    lender.settle(returned.grant(), returned.unspent(), now);
  }

  void tick(Instant now) {
    lender.tick(now);
    onlineQueue.tick(now);
    batchQueue.tick(now);
  }

  /** Rejects a request and every waiting request. */
  void reject(CompletableFuture<Option<Refusal>> decision, Refusal refusal) {
    rejectAll(refusal);
    onlineQueue.completeDecision(decision, Option.of(refusal));
  }

  /** Rejects every waiting request with the given refusal. */
  void rejectAll(Refusal refusal) {
    onlineQueue.rejectAll(refusal);
    batchQueue.rejectAll(refusal);
  }
}
