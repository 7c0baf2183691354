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
 * Maintains this host's entry in the platform's host list: written at the start and when the host
 * begins to leave, deleted when it has left. The entry is not bound to a lease, because renewals
 * would cost the store one write per host every few seconds, and the list does not serve as
 * evidence that a host is alive.
 */
final class HostRegistration {
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(5);

  private final Store store;
  private final InstantSource clock;
  private MemberState writtenState = MemberState.DEAD;
  private boolean writePending;
  private boolean deleted;
  private Deadline nextAttempt;

  HostRegistration(Store store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
    this.nextAttempt = Deadline.at(clock.instant());
  }

  /** Writes the host's state if the entry does not have it yet. */
  synchronized void tick(Member self) {
    if (self.state() == writtenState || writePending || !nextAttempt.isPast(clock.instant())) {
      return;
    }
    writePending = true;
    nextAttempt = Deadline.after(clock, RETRY_INTERVAL);
    store.write(transaction(self)).thenAccept(o -> onOutcome(o, self.state()));
  }

  /** Returns whether the entry has been deleted at the end of a planned stop. */
  synchronized boolean isDeleted() {
    return deleted;
  }

  private synchronized void onOutcome(WriteOutcome outcome, MemberState state) {
    writePending = false;
    if (outcome instanceof WriteOutcome.Done) {
      writtenState = state;
      deleted = state == MemberState.DEAD;
      nextAttempt = Deadline.at(clock.instant());
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
