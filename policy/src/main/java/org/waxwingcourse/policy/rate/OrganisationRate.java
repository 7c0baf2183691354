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
 * One organisation's tokens on this host: its own share, what it has borrowed, and the requests
 * that wait. Batch work takes only what leaves a reserve of the share to online requests, here and
 * where it borrows. Guarded by the lock of its shard; messages and completions are collected and
 * run by the shard after the lock is released.
 */
final class OrganisationRate {
  private final OrganisationId organisation;
  private final RatePort port;
  private final Lender lender;
  private final Line online;
  private final Line batch;
  private List<Runnable> effects = new ArrayList<>();

  OrganisationRate(
      OrganisationId organisation, RandomGenerator random, RatePort port, Instant now) {
    this.organisation = organisation;
    this.port = port;
    this.lender = new Lender(now);
    this.online =
        new Line(organisation, lender, borrower(random, false), () -> 0, r -> effects.add(r));
    this.batch =
        new Line(
            organisation, lender, borrower(random, true), lender::reserve, r -> effects.add(r));
  }

  private Borrower borrower(RandomGenerator random, boolean spare) {
    return new Borrower(
        organisation, spare, random, (to, m) -> effects.add(() -> port.send(to, m)));
  }

  Lender lender() {
    return lender;
  }

  /** Follows a change of the other hosts that hold shares. */
  void lendersAre(List<HostId> holders) {
    online.borrower().lendersAre(holders);
    batch.borrower().lendersAre(holders);
  }

  /** Tells whether something here falls due by itself. */
  boolean isBorrowing() {
    return online.isBorrowing() || batch.isBorrowing();
  }

  /** Returns what is to be done outside the lock, and forgets it. */
  List<Runnable> takeEffects() {
    List<Runnable> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  void admit(
      WorkClass work, CompletableFuture<Option<Refusal>> answer, Deadline deadline, Instant now) {
    Line line = work == WorkClass.ONLINE ? online : batch;
    line.admit(answer, deadline, now);
  }

  void onAsk(HostId from, RateMessage.Ask ask, long grant, Duration valid, Instant now) {
    long reserve = ask.spare() ? lender.reserve() : 0;
    long amount = lender.lend(grant, ask.wanted(), reserve, now);
    Duration next = lender.bucket().timeUntil(reserve + TokenBucket.TOKEN, now);
    RateMessage answer = new RateMessage.Grant(ask.id(), organisation, grant, amount, valid, next);
    effects.add(() -> port.send(from, answer));
  }

  void onGrant(HostId from, RateMessage.Grant grant, Instant now) {
    Line line = batch.borrower().isAwaiting(grant.ask()) ? batch : online;
    line.borrower().onGrant(from, grant, now);
    line.serve(now);
  }

  void onReturn(RateMessage.Return returned, Instant now) {
    lender.settle(returned.grant(), returned.unspent(), now);
  }

  void tick(Instant now) {
    lender.tick(now);
    online.tick(now);
    batch.tick(now);
  }

  /** Refuses a request, and every one that waits. */
  void refuse(CompletableFuture<Option<Refusal>> answer, Refusal refusal) {
    refuseAll(refusal);
    online.finish(answer, Option.of(refusal));
  }

  /** Refuses every request that waits, with the given refusal. */
  void refuseAll(Refusal refusal) {
    online.refuseAll(refusal);
    batch.refuseAll(refusal);
  }
}
