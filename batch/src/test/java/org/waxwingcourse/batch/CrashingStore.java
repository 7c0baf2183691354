package org.waxwingcourse.batch;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;
import org.waxwingcourse.store.WriteOutcome;

/**
 * The store as one host calls it. The host crashes at its n-th call, before or after the call takes
 * effect.
 */
final class CrashingStore implements Store {
  private final Store store;
  private final boolean crashAfterEffect;
  private int callsLeft;
  private boolean crashed;
  private Runnable pause;
  private Runnable delay = () -> {};

  CrashingStore(Store store, int crashAtCall, boolean crashAfterEffect) {
    this.store = store;
    this.callsLeft = crashAtCall;
    this.crashAfterEffect = crashAfterEffect;
  }

  /**
   * Pauses the host in its n-th call, before the call takes effect, instead of crashing it. {@code
   * duringPause} runs the other hosts meanwhile.
   */
  void pauseInsteadOfCrashing(Runnable duringPause) {
    pause = duringPause;
  }

  void pauseInsteadOfCrashing(int atCall, Runnable duringPause) {
    callsLeft = atCall;
    pause = duringPause;
  }

  /** Delays each call by running {@code wait} once before and once after the call takes effect. */
  void slowDown(Runnable wait) {
    delay = wait;
  }

  boolean isCrashed() {
    return crashed;
  }

  void crash() {
    crashed = true;
  }

  private <T> T call(Supplier<T> action) {
    callsLeft--;
    delay.run();
    if (callsLeft == 0 && pause != null) {
      pause.run();
      callsLeft = BatchSimulation.NO_CRASH;
    }
    if (crashed || callsLeft == 0 && !crashAfterEffect) {
      crashed = true;
      throw new HostCrash();
    }
    T answer = action.get();
    delay.run();
    if (callsLeft == 0) {
      crashed = true;
      throw new HostCrash();
    }
    return answer;
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
    return call(() -> store.read(range));
  }

  @Override
  public CompletableFuture<WriteOutcome> write(Transaction transaction) {
    return call(() -> store.write(transaction));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive) {
    return call(() -> store.grantLease(timeToLive));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease) {
    return call(() -> store.renewLease(lease));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease) {
    return call(() -> store.revokeLease(lease));
  }

  @Override
  public Watch watch(KeyRange range, Revision after, WatchListener listener) {
    return call(() -> store.watch(range, after, new ListenerUntilCrash(listener)));
  }

  private final class ListenerUntilCrash implements WatchListener {
    private final WatchListener listener;

    ListenerUntilCrash(WatchListener listener) {
      this.listener = listener;
    }

    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      if (!crashed) {
        listener.onChanges(revision, puts, deletes);
      }
    }

    @Override
    public void onFailure(StoreFailure failure) {
      if (!crashed) {
        listener.onFailure(failure);
      }
    }
  }
}
