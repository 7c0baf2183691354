import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The slots of an engine's process and its queue, which holds a few requests more. */
final class Slots {
  private static final int QUEUE = 24;
  private static final int LONGEST_WAIT_S = 5;

  private final Semaphore free;
  private final AtomicInteger waiting = new AtomicInteger();

  Slots(int count) {
    free = new Semaphore(count, true);
  }

  /** Takes a slot, after a wait in the queue if need be; returns false if the engine is full. */
  boolean take() throws InterruptedException {
    if (free.tryAcquire()) {
      return true;
    }
    if (waiting.incrementAndGet() > QUEUE) {
      waiting.decrementAndGet();
      return false;
    }
    try {
      return free.tryAcquire(LONGEST_WAIT_S, TimeUnit.SECONDS);
    } finally {
      waiting.decrementAndGet();
    }
  }

  void give() {
    free.release();
  }
}
