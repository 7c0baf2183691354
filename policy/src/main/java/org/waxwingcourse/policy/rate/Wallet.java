package org.waxwingcourse.policy.rate;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/**
 * Tokens of one organisation that this host has borrowed, each loan with its deadline. Not safe for
 * use by several threads.
 */
final class Wallet {
  /** Loans are given back after this time even if tokens are left. */
  static final Duration KEEP = Duration.ofMillis(300);

  private final OrganisationId organisation;
  private final BiConsumer<HostId, RateMessage> send;
  private final Deque<Loan> loans = new ArrayDeque<>();

  Wallet(OrganisationId organisation, BiConsumer<HostId, RateMessage> send) {
    this.organisation = organisation;
    this.send = send;
  }

  private static final class Loan {
    final HostId lender;
    final long grant;
    final Deadline deadline;
    final Deadline giveBack;
    long left;

    Loan(HostId lender, long grant, long amount, Deadline deadline, Deadline giveBack) {
      this.lender = lender;
      this.grant = grant;
      this.left = amount;
      this.deadline = deadline;
      this.giveBack = giveBack;
    }
  }

  /** Adds a loan that was asked for at {@code askedAt}. */
  void add(HostId lender, RateMessage.Grant grant, Instant askedAt, Instant now) {
    Deadline deadline = Deadline.at(askedAt.plus(grant.valid()));
    Deadline giveBack = Deadline.at(now.plus(KEEP));
    loans.add(new Loan(lender, grant.grant(), grant.amount(), deadline, giveBack));
  }

  /** Sends a loan straight back. */
  void refuse(HostId lender, RateMessage.Grant grant) {
    send.accept(lender, new RateMessage.Return(organisation, grant.grant(), grant.amount()));
  }

  boolean isEmpty() {
    return loans.isEmpty();
  }

  long amount(Instant now) {
    dropLapsed(now);
    return loans.stream().mapToLong(l -> l.left).sum();
  }

  /** Takes up to {@code wanted}, oldest loans first, and returns what was taken. */
  long take(long wanted, Instant now) {
    dropLapsed(now);
    long taken = 0;
    while (taken < wanted && !loans.isEmpty()) {
      Loan loan = loans.peek();
      long part = Math.min(wanted - taken, loan.left);
      loan.left -= part;
      taken += part;
      if (loan.left == 0) {
        giveBack(loans.remove());
      }
    }
    return taken;
  }

  /** Gives loans back that have been kept long enough. */
  void tick(Instant now) {
    dropLapsed(now);
    List<Loan> due = new ArrayList<>();
    loans.stream().filter(l -> l.giveBack.isPast(now)).forEach(due::add);
    due.forEach(
        l -> {
          loans.remove(l);
          giveBack(l);
        });
  }

  private void giveBack(Loan loan) {
    send.accept(loan.lender, new RateMessage.Return(organisation, loan.grant, loan.left));
  }

  private void dropLapsed(Instant now) {
    loans.removeIf(l -> l.deadline.isPast(now));
  }
}
