package org.waxwingcourse.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of one response. Any thread may add bytes; the connection takes them as fast as it can.
 * A receiver that disconnects, or is too slow for the buffer, is reported once.
 *
 * <p>The state is guarded by this object's lock. The subscriber and the callbacks are called
 * without holding the lock, the subscriber by one thread at a time.
 */
public final class ResponseBodyPublisher implements Publisher<ByteBuf>, Subscription {
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

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

  /**
   * Creates an empty body.
   *
   * @param onReceiverLost runs when the receiver has disconnected or is too slow
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
    }
    if (overflow) {
      onReceiverLost.run();
    }
    deliver();
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
    synchronized (this) {
      finished = true;
      buffer.clear();
    }
    onReceiverLost.run();
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
    }
    if (next != null) {
      subscriber.onNext(Unpooled.wrappedBuffer(next));
    } else if (endedComplete) {
      subscriber.onComplete();
    } else {
      onIncompleteEnd.run();
    }
    return true;
  }
}
