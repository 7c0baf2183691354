package org.waxwingcourse.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of one answer, filled by any thread and taken by the connection as fast as it can. A
 * receiver that is too slow for the buffer, or that goes away, is reported once.
 *
 * <p>State is guarded by this object's lock; the subscriber and the callbacks are called outside
 * it, the subscriber by one thread at a time.
 */
public final class BodyStream implements Publisher<ByteBuf>, Subscription {
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private final Deque<byte[]> buffer = new ArrayDeque<>();
  private final Runnable onGone;
  private final Runnable onBroken;
  private Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private int buffered;
  private boolean delivering;
  private boolean ended;
  private boolean whole;
  private boolean finished;

  /**
   * Creates an empty body.
   *
   * @param onGone runs when the receiver has gone or is too slow
   * @param onBroken runs when all was handed on of a body that is not whole
   */
  public BodyStream(Runnable onGone, Runnable onBroken) {
    this.onGone = onGone;
    this.onBroken = onBroken;
  }

  /** Adds bytes. */
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
      onGone.run();
    }
    deliver();
  }

  /** Ends the body; one that is not whole must not look so to the receiver. */
  public void end(boolean isWhole) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      whole = isWhole;
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
    onGone.run();
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
    } else if (whole) {
      subscriber.onComplete();
    } else {
      onBroken.run();
    }
    return true;
  }
}
