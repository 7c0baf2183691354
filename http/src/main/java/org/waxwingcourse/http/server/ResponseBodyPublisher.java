package org.waxwingcourse.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of one response. Any thread may add bytes; the connection takes them as fast as it can.
 * A sender that can pause does so until the body is {@linkplain #drained() drained}. A receiver
 * that disconnects, or is too slow for the buffer of a sender that goes on, is reported once.
 *
 * <p>The state is guarded by this object's lock. The subscriber and the callbacks are called
 * without holding the lock, the subscriber by one thread at a time.
 */
public final class ResponseBodyPublisher implements Publisher<ByteBuf>, Subscription {
  /** Above this, senders pause. */
  private static final int HIGH_WATER_BYTES = 128 * 1024;

  /** Down to this, they go on. */
  private static final int LOW_WATER_BYTES = 32 * 1024;

  /** The largest piece that is added at once, and what a sender that pauses has read already. */
  private static final int MAX_BUFFERED_BYTES = (1 << 20) + (256 << 10);

  private final Deque<byte[]> buffer = new ArrayDeque<>();
  private final Runnable onReceiverLost;
  private final Runnable onIncompleteEnd;
  private Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private int buffered;
  private boolean delivering;
  private boolean ended;
  private boolean endedComplete;
  private boolean finished;
  private CompletableFuture<Void> drained = CompletableFuture.completedFuture(null);

  /**
   * Creates an empty body.
   *
   * @param onReceiverLost runs when the receiver has disconnected or is too slow; the body takes no
   *     more bytes then
   * @param onIncompleteEnd runs when all bytes of an incomplete body have been passed on
   */
  public ResponseBodyPublisher(Runnable onReceiverLost, Runnable onIncompleteEnd) {
    this.onReceiverLost = onReceiverLost;
    this.onIncompleteEnd = onIncompleteEnd;
  }

  /** Appends bytes to the body. */
  public void add(byte[] bytes) {
    boolean overflow;
    synchronized (this) {
      if (finished || ended) {
        return;
      }
      buffer.add(bytes);
      buffered += bytes.length;
      overflow = buffered > MAX_BUFFERED_BYTES;
      if (buffered > HIGH_WATER_BYTES && drained.isDone()) {
        drained = new CompletableFuture<>();
      }
    }
    if (overflow) {
      cancel();
    }
    deliver();
  }

  /** Returns a future that completes once the receiver has taken most of what was added. */
  public synchronized CompletableFuture<Void> drained() {
    return drained;
  }

  /** Ends the body. An incomplete body must not appear complete to the receiver. */
  public void end(boolean isComplete) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      endedComplete = isComplete;
    }
    deliver();
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
    synchronized (this) {
      subscriber = newSubscriber;
    }
    newSubscriber.onSubscribe(this);
  }

  @Override
  public void request(long n) {
    synchronized (this) {
      demand = demand + n < 0 ? Long.MAX_VALUE : demand + n;
    }
    deliver();
  }

  @Override
  public void cancel() {
    CompletableFuture<Void> waiting;
    synchronized (this) {
      finished = true;
      buffer.clear();
      waiting = drained;
    }
    onReceiverLost.run();
    waiting.complete(null);
  }

  private void deliver() {
    synchronized (this) {
      if (delivering || subscriber == null) {
        return;
      }
      delivering = true;
    }
    while (deliverOne()) {
      continue;
    }
  }

  private boolean deliverOne() {
    byte[] next = null;
    boolean low;
    CompletableFuture<Void> waiting;
    synchronized (this) {
      boolean complete = !finished && buffer.isEmpty() && ended;
      if (!complete && (finished || buffer.isEmpty() || demand == 0)) {
        delivering = false;
        return false;
      }
      if (complete) {
        finished = true;
      } else {
        next = buffer.remove();
        buffered -= next.length;
        demand--;
      }
      low = buffered <= LOW_WATER_BYTES;
      waiting = drained;
    }
    if (next != null) {
      subscriber.onNext(Unpooled.wrappedBuffer(next));
    } else if (endedComplete) {
      subscriber.onComplete();
    } else {
      onIncompleteEnd.run();
    }
    if (low) {
      waiting.complete(null);
    }
    return true;
  }
}
