package org.waxwingcourse.node.agree;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.policy.trust.Holder;
import org.waxwingcourse.policy.trust.Roster;

/** Waits until the roster no longer lists a process. */
final class RosterRemovalLatch {
  private final Holder self;
  private final CountDownLatch removed = new CountDownLatch(1);

  RosterRemovalLatch(Holder self) {
    this.self = self;
  }

  void onRoster(Roster roster) {
    if (!roster.lists(self.host(), self.incarnation())) {
      removed.countDown();
    }
  }

  void await(Duration timeout) {
    try {
      removed.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
