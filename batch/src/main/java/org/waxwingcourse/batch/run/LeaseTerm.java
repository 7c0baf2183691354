package org.waxwingcourse.batch.run;

import java.time.Instant;
import org.waxwingcourse.policy.lease.HeldLease;
import org.waxwingcourse.store.LeaseId;

/** One lease of this host from its grant until it lapses, with the renewals in between. */
final class LeaseTerm {
  private final LeaseId id;
  private volatile HeldLease held;

  LeaseTerm(LeaseId id, HeldLease held) {
    this.id = id;
    this.held = held;
  }

  LeaseId id() {
    return id;
  }

  boolean holds(Instant now) {
    return held.holds(now);
  }

  void renewed(HeldLease next) {
    held = next;
  }

  void end() {
    held = HeldLease.NONE;
  }
}
