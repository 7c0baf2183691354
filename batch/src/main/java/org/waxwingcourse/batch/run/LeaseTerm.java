package org.waxwingcourse.batch.run;

import java.time.Instant;
import org.waxwingcourse.policy.lease.HeldLease;
import org.waxwingcourse.store.LeaseId;

/** A lease of this host from its grant to its expiry, including renewals. */
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
    return held.isUsable(now);
  }

  void extend(HeldLease renewal) {
    held = renewal;
  }

  void end() {
    held = HeldLease.NONE;
  }
}
