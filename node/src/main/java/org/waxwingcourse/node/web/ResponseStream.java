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
 * Streams one response from the dispatcher to the caller's connection and buffers what the
 * connection does not accept yet. The request is cancelled if the caller reads so slowly that the
 * buffer overflows.
 *
 * <p>All state is guarded by this object's lock; the subscriber is called by one thread at a time.
 */
final class ResponseStream implements AnswerListener, Publisher<ByteBuf>, Subscription {
  static final String EVENT_STREAM = "text/event-stream";
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  /**
   * The beginning of a response, or its outcome if it ended before it began.
   *
   * @param status HTTP status, zero if the response ended before it began
   * @param contentType media type, empty if the response ended before it began
   * @param outcome the outcome, null if the response has begun
   */
  record Start(int status, String contentType, Outcome outcome) {}

  private final CompletableFuture<Start> start = new CompletableFuture<>();
  private final CompletableFuture<Outcome> end = new CompletableFuture<>();
  private final CompletableFuture<Void> abandoned = new CompletableFuture<>();
  private final CompletableFuture<Void> truncated = new CompletableFuture<>();
  private final Deque<byte[]> buffer = new ArrayDeque<>();
  private Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private int bufferedBytes;
  private boolean delivering;
  private boolean eventStream;
  private boolean ended;
  private boolean finished;

  /** Returns a future that completes once the response begins or ends. */
  CompletableFuture<Start> start() {
    return start;
  }

  /** Returns a future of the outcome. */
  CompletableFuture<Outcome> end() {
    return end;
  }

  /** Returns a future that completes if the caller disconnects or reads too slowly. */
  CompletableFuture<Void> abandoned() {
    return abandoned;
  }

  /** Returns a future that completes once an incomplete response must be cut off. */
  CompletableFuture<Void> truncated() {
    return truncated;
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
      bufferedBytes += bytes.length;
      overflow = bufferedBytes > MAX_BUFFERED_BYTES;
    }
    if (overflow) {
      abandoned.complete(null);
    }
    deliverBuffered();
  }

  @Override
  public void onEnd(Outcome outcome) {
    end(outcome, outcome instanceof Outcome.Done ? null : ApiError.of(outcome));
  }

  /** Ends the response with an error; chunks that arrive later are dropped. */
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
        bufferedBytes += event.length;
      }
    }
    start.complete(new Start(0, "", outcome));
    end.complete(outcome);
    deliverBuffered();
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
    deliverBuffered();
  }

  @Override
  public void cancel() {
    synchronized (this) {
      finished = true;
      buffer.clear();
    }
    abandoned.complete(null);
  }

  private void deliverBuffered() {
    synchronized (this) {
      if (delivering || subscriber == null) {
        return;
      }
      delivering = true;
    }
    while (deliverNext()) {
      continue;
    }
  }

  private boolean deliverNext() {
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
        bufferedBytes -= next.length;
        demand--;
      }
    }
    if (next == null) {
      completeSubscriber();
    } else {
      subscriber.onNext(Unpooled.wrappedBuffer(next));
    }
    return true;
  }

  /**
   * Ends the response such that a caller can recognize an incomplete one: an event stream ends with
   * an error event and without the final event, any other response with a closed connection.
   */
  private void completeSubscriber() {
    if (end.join() instanceof Outcome.Done || eventStream) {
      subscriber.onComplete();
    } else {
      truncated.complete(null);
    }
  }
}
