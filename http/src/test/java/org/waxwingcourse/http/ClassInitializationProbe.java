package org.waxwingcourse.http;

import java.util.concurrent.CyclicBarrier;
import org.waxwingcourse.model.time.MonotonicClock;

/**
 * Does what the event loops of a starting host do at the same time: one receives a first response,
 * one answers a first request.
 */
final class ClassInitializationProbe {
  private static final String[] CLASSES = {
    "ratpack.http.Status", "ratpack.http.internal.DefaultStatus"
  };

  private ClassInitializationProbe() {}

  public static void main(String[] arguments) throws Exception {
    RatpackHttpClient client = RatpackHttpClient.of(MonotonicClock.start(), 1);
    client.start();
    CyclicBarrier barrier = new CyclicBarrier(CLASSES.length);
    Thread[] threads = new Thread[CLASSES.length];
    for (int i = 0; i < CLASSES.length; i++) {
      String name = CLASSES[i];
      threads[i] = new Thread(() -> initialize(name, barrier));
      threads[i].start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    System.exit(0);
  }

  private static void initialize(String name, CyclicBarrier barrier) {
    try {
      ClassLoader loader = ClassInitializationProbe.class.getClassLoader();
      Class.forName(name, false, loader);
      barrier.await();
      Class.forName(name, true, loader);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
