package org.waxwingcourse.node.member;

import java.time.Duration;
import java.time.InstantSource;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.store.hosts.HostList;
import org.waxwingcourse.store.hosts.ListedHost;
import org.waxwingcourse.store.hosts.ListedHostCodec;

/**
 * Keeps this host's entry for the platform's list: one write at the start, one when it leaves and
 * one when it is gone. The entry hangs on no lease, since renewals would cost the store a write a
 * host every few seconds and the list is no evidence of life.
 */
final class HostRegistration {
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(5);

  private final Store store;
  private final InstantSource clock;
  private MemberState written = MemberState.DEAD;
  private boolean underway;
  private boolean deleted;
  private Deadline nextTry;

  HostRegistration(Store store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
    this.nextTry = Deadline.at(clock.instant());
  }

  /** Writes the host's state if the entry does not show it yet. */
  synchronized void tick(Member self) {
    if (self.state() == written || underway || !nextTry.isPast(clock.instant())) {
      return;
    }
    underway = true;
    nextTry = Deadline.after(clock, RETRY_INTERVAL);
    store.write(transaction(self)).thenAccept(o -> onOutcome(o, self.state()));
  }

  /** Tells whether the entry has been deleted at the end of a stop. */
  synchronized boolean gone() {
    return deleted;
  }

  private synchronized void onOutcome(WriteOutcome outcome, MemberState state) {
    underway = false;
    if (outcome instanceof WriteOutcome.Done) {
      written = state;
      deleted = state == MemberState.DEAD;
      nextTry = Deadline.at(clock.instant());
    }
  }

  private static Transaction transaction(Member self) {
    String key = HostList.KEY_PREFIX + self.id();
    if (self.state() == MemberState.DEAD) {
      return Transaction.builder().delete(key).build();
    }
    ListedHost.State state =
        self.state() == MemberState.LEAVING ? ListedHost.State.LEAVING : ListedHost.State.LIVE;
    ListedHost listed =
        new ListedHost(
            self.id(), self.dataCentre(), self.callerAddress(), self.peerAddress(), state);
    return Transaction.builder().put(key, ListedHostCodec.write(listed)).build();
  }
}
