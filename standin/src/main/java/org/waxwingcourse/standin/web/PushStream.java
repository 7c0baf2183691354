package org.waxwingcourse.standin.web;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Execution;
import ratpack.handling.Context;

/**
 * A streamed response body that any thread can append to. Chunks are delivered to the single
 * subscriber on one event loop, limited by the subscriber's demand.
 */
public final class PushStream implements Publisher<ByteBuf>, Subscription {
  private final EventLoop loop;
  private final Context ctx;
  private final Runnable onCancelled;
  private final ArrayDeque<String> pendingChunks = new ArrayDeque<>();
  private Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private boolean completed;
  private boolean terminated;

  private PushStream(EventLoop loop, Context ctx, Runnable onCancelled) {
    this.loop = loop;
    this.ctx = ctx;
    this.onCancelled = onCancelled;
  }

  /**
   * Returns a stream on the event loop of the current execution.
   *
   * @param ctx the request that the stream answers
   * @param onCancelled run at most once, if the receiver disconnects before the end of the stream
   */
  public static PushStream create(Context ctx, Runnable onCancelled) {
    return new PushStream(Execution.current().getEventLoop(), ctx, onCancelled);
  }

  /** Appends a chunk of text. */
  public void push(String text) {
    loop.execute(
        () -> {
          pendingChunks.add(text);
          emitPending();
        });
  }

  /** Ends the stream after all appended chunks have been delivered. */
  public void complete() {
    loop.execute(
        () -> {
          completed = true;
          emitPending();
        });
  }

  /**
   * Resets the connection in the middle of the body. Signalling an error to the subscriber would
   * end the body as if it were complete.
   */
  public void abort() {
    loop.execute(
        () -> {
          if (!terminated) {
            terminated = true;
            OpenConnections.reset(ctx);
          }
        });
  }

  /**
   * {@inheritDoc}
   *
   * <p>The server calls this on the event loop and needs the subscription before the call returns.
   */
  @Override
  public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
    subscriber = newSubscriber;
    subscriber.onSubscribe(this);
    emitPending();
  }

  @Override
  public void request(long count) {
    loop.execute(
        () -> {
          demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
          emitPending();
        });
  }

  @Override
  public void cancel() {
    loop.execute(
        () -> {
          if (!terminated) {
            terminated = true;
            onCancelled.run();
          }
        });
  }

  private void emitPending() {
    while (subscriber != null && !terminated && demand > 0 && !pendingChunks.isEmpty()) {
      demand--;
      byte[] bytes = pendingChunks.poll().getBytes(StandardCharsets.UTF_8);
      subscriber.onNext(Unpooled.wrappedBuffer(bytes));
    }
    if (subscriber != null && !terminated && completed && pendingChunks.isEmpty()) {
      terminated = true;
      subscriber.onComplete();
    }
  }
}
