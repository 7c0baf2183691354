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

/** One host's way to the store; the host dies at its n-th call, before or after the effect. */
final class KillableStore implements Store {
  private final Store store;
  private final boolean afterEffect;
  private int callsLeft;
  private boolean dead;
  private Runnable pause;
  private Runnable slowness = () -> {};

  KillableStore(Store store, int killAtCall, boolean afterEffect) {
    this.store = store;
    this.callsLeft = killAtCall;
    this.afterEffect = afterEffect;
  }

  /** Lets the host sleep inside its n-th call, before the effect, in place of dying there. */
  void pausingFor(Runnable whatOthersDo) {
    pause = whatOthersDo;
  }

  void pausingFor(int atCall, Runnable whatOthersDo) {
    callsLeft = atCall;
    pause = whatOthersDo;
  }

  /** Makes each call take as long as {@code wait} lets pass, half of it before the effect. */
  void slow(Runnable wait) {
    slowness = wait;
  }

  boolean isDead() {
    return dead;
  }

  void kill() {
    dead = true;
  }

  private <T> T call(Supplier<T> action) {
    callsLeft--;
    slowness.run();
    if (callsLeft == 0 && pause != null) {
      pause.run();
      callsLeft = World.NEVER;
    }
    if (dead || callsLeft == 0 && !afterEffect) {
      dead = true;
      throw new HostKilled();
    }
    T answer = action.get();
    slowness.run();
    if (callsLeft == 0) {
      dead = true;
      throw new HostKilled();
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
    return call(() -> store.watch(range, after, new WhileAlive(listener)));
  }

  private final class WhileAlive implements WatchListener {
    private final WatchListener listener;

    WhileAlive(WatchListener listener) {
      this.listener = listener;
    }

    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      if (!dead) {
        listener.onChanges(revision, puts, deletes);
      }
    }

    @Override
    public void onBroken(StoreFailure failure) {
      if (!dead) {
        listener.onBroken(failure);
      }
    }
  }
}
