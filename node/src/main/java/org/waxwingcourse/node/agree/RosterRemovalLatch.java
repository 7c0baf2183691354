package org.waxwingcourse.node.agree;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.policy.trust.Roster;
import org.waxwingcourse.policy.trust.ShareHolder;

/** Waits until the roster no longer lists a process. */
final class RosterRemovalLatch {
  private final ShareHolder self;
  private final CountDownLatch removed = new CountDownLatch(1);

  RosterRemovalLatch(ShareHolder self) {
    this.self = self;
  }

  void onRoster(Roster roster) {
    if (!roster.contains(self.host(), self.incarnation())) {
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
