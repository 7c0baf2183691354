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
 * Tokens of one organisation that this host has borrowed, with the deadline of each loan. Not
 * thread-safe.
 */
final class BorrowedTokens {
  /** Time after which a loan is returned even if it has unspent tokens. */
  static final Duration RETURN_AFTER = Duration.ofMillis(300);

  private final OrganisationId organisation;
  private final BiConsumer<HostId, RateMessage> send;
  private final Deque<Loan> loans = new ArrayDeque<>();

  BorrowedTokens(OrganisationId organisation, BiConsumer<HostId, RateMessage> send) {
    this.organisation = organisation;
    this.send = send;
  }

  private static final class Loan {
    final HostId lender;
    final long grant;
    final Deadline deadline;
    final Deadline returnAt;
    long unspent;

    Loan(HostId lender, long grant, long amount, Deadline deadline, Deadline returnAt) {
      this.lender = lender;
      this.grant = grant;
      this.unspent = amount;
      this.deadline = deadline;
      this.returnAt = returnAt;
    }
  }

  /** Adds a loan that was requested at {@code requestedAt}. */
  void add(HostId lender, RateMessage.Grant grant, Instant requestedAt, Instant now) {
    Deadline deadline = Deadline.at(requestedAt.plus(grant.valid()));
    Deadline returnAt = Deadline.at(now.plus(RETURN_AFTER));
    loans.add(new Loan(lender, grant.grant(), grant.amount(), deadline, returnAt));
  }

  /** Returns a loan unspent without adding it. */
  void returnUnspent(HostId lender, RateMessage.Grant grant) {
    send.accept(lender, new RateMessage.Return(organisation, grant.grant(), grant.amount()));
  }

  boolean isEmpty() {
    return loans.isEmpty();
  }

  long amount(Instant now) {
    dropExpired(now);
    return loans.stream().mapToLong(l -> l.unspent).sum();
  }

  /** Takes up to {@code wanted}, oldest loans first, and returns the amount taken. */
  long take(long wanted, Instant now) {
    dropExpired(now);
    long taken = 0;
    while (taken < wanted && !loans.isEmpty()) {
      Loan loan = loans.peek();
      long part = Math.min(wanted - taken, loan.unspent);
      loan.unspent -= part;
      taken += part;
      if (loan.unspent == 0) {
        returnLoan(loans.remove());
      }
    }
    return taken;
  }

  /** Returns the loans that have been kept long enough. */
  void tick(Instant now) {
    dropExpired(now);
    List<Loan> due = new ArrayList<>();
    loans.stream().filter(l -> l.returnAt.isPast(now)).forEach(due::add);
    due.forEach(
        l -> {
          loans.remove(l);
          returnLoan(l);
        });
  }

  private void returnLoan(Loan loan) {
    send.accept(loan.lender, new RateMessage.Return(organisation, loan.grant, loan.unspent));
  }

  private void dropExpired(Instant now) {
    loans.removeIf(l -> l.deadline.isPast(now));
  }
}
