package org.waxwingcourse.node.agree;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.policy.trust.Holder;
import org.waxwingcourse.policy.trust.Roster;

/** Waits until a process is no longer listed. */
final class RosterDeparture {
  private final Holder self;
  private final CountDownLatch left = new CountDownLatch(1);

  RosterDeparture(Holder self) {
    this.self = self;
  }

  void onRoster(Roster roster) {
    if (!roster.lists(self.host(), self.incarnation())) {
      left.countDown();
    }
  }

  void await(Duration time) {
    try {
      left.await(time.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
