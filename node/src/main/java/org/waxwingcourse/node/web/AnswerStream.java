package org.waxwingcourse.node.web;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Outcome;

/**
 * Carries one answer from the dispatcher to the caller's connection, holding what the connection
 * cannot take yet. A caller that reads too slowly for the buffer ends its request.
 *
 * <p>All state is guarded by this object's lock; the subscriber is called by one thread at a time.
 */
final class AnswerStream implements AnswerListener, Publisher<ByteBuf>, Subscription {
  static final String EVENT_STREAM = "text/event-stream";
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  /**
   * The first thing known of an answer.
   *
   * @param status HTTP status, zero where the answer ended before it began
   * @param contentType media type
   * @param end the outcome, null once the answer has begun
   */
  record Start(int status, String contentType, Outcome end) {}

  private final CompletableFuture<Start> start = new CompletableFuture<>();
  private final CompletableFuture<Outcome> end = new CompletableFuture<>();
  private final CompletableFuture<Void> abandoned = new CompletableFuture<>();
  private final CompletableFuture<Void> broken = new CompletableFuture<>();
  private final Deque<byte[]> buffer = new ArrayDeque<>();
  private Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private int buffered;
  private boolean delivering;
  private boolean eventStream;
  private boolean ended;
  private boolean finished;

  /** Completes once the answer begins or ends. */
  CompletableFuture<Start> start() {
    return start;
  }

  /** Completes with the outcome. */
  CompletableFuture<Outcome> end() {
    return end;
  }

  /** Completes if the caller goes away or reads too slowly. */
  CompletableFuture<Void> abandoned() {
    return abandoned;
  }

  /** Completes once all was handed on of an answer that is not whole. */
  CompletableFuture<Void> broken() {
    return broken;
  }

  @Override
  public void onStart(int status, String contentType) {
    synchronized (this) {
      eventStream = contentType.startsWith(EVENT_STREAM);
    }
    start.complete(new Start(status, contentType, null));
  }

  @Override
  public void onChunk(byte[] bytes) {
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
      abandoned.complete(null);
    }
    deliver();
  }

  @Override
  public void onEnd(Outcome outcome) {
    end(outcome, outcome instanceof Outcome.Done ? null : ApiError.of(outcome));
  }

  /** Ends the answer from this side; what comes after is dropped. */
  void abort(ApiError error) {
    end(new Outcome.Failed(error.status(), error.message()), error);
  }

  private void end(Outcome outcome, ApiError error) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      if (error != null && eventStream) {
        byte[] event = ("data: " + error.json() + "\n\n").getBytes(StandardCharsets.UTF_8);
        buffer.add(event);
        buffered += event.length;
      }
    }
    start.complete(new Start(0, "", outcome));
    end.complete(outcome);
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
    abandoned.complete(null);
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
      boolean complete = !finished && buffer.isEmpty() && end.isDone();
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
    if (next == null) {
      complete();
    } else {
      subscriber.onNext(Unpooled.wrappedBuffer(next));
    }
    return true;
  }

  /**
   * An answer that is not whole must not look whole: an event stream ends with an error event and
   * without the final one, any other answer with its connection.
   */
  private void complete() {
    if (end.join() instanceof Outcome.Done || eventStream) {
      subscriber.onComplete();
    } else {
      broken.complete(null);
    }
  }
}
