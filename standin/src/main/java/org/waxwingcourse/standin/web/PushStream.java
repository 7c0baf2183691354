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
 * A streamed body that any thread can add to. It is fed to its single subscriber on one event loop,
 * by the subscriber's demand.
 */
public final class PushStream implements Publisher<ByteBuf>, Subscription {
  private final EventLoop loop;
  private final Context ctx;
  private final Runnable onCancelled;
  private final ArrayDeque<String> waiting = new ArrayDeque<>();
  private Subscriber<? super ByteBuf> subscriber;
  private long demand;
  private boolean completed;
  private boolean ended;

  private PushStream(EventLoop loop, Context ctx, Runnable onCancelled) {
    this.loop = loop;
    this.ctx = ctx;
    this.onCancelled = onCancelled;
  }

  /**
   * Returns a stream on the event loop of the present execution.
   *
   * @param ctx the request that the stream answers
   * @param onCancelled run once if the receiver goes away before the end
   */
  public static PushStream create(Context ctx, Runnable onCancelled) {
    return new PushStream(Execution.current().getEventLoop(), ctx, onCancelled);
  }

  /** Adds text. */
  public void push(String text) {
    loop.execute(
        () -> {
          waiting.add(text);
          drain();
        });
  }

  /** Ends the stream after all that was added. */
  public void complete() {
    loop.execute(
        () -> {
          completed = true;
          drain();
        });
  }

  /** Resets the connection in the middle of the body; an error would end the body as whole. */
  public void fail() {
    loop.execute(
        () -> {
          if (!ended) {
            ended = true;
            Connections.reset(ctx);
          }
        });
  }

  /** Called by the server on the event loop; it needs the subscription at once. */
  @Override
  public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
    subscriber = newSubscriber;
    subscriber.onSubscribe(this);
    drain();
  }

  @Override
  public void request(long count) {
    loop.execute(
        () -> {
          demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
          drain();
        });
  }

  @Override
  public void cancel() {
    loop.execute(
        () -> {
          if (!ended) {
            ended = true;
            onCancelled.run();
          }
        });
  }

  private void drain() {
    while (subscriber != null && !ended && demand > 0 && !waiting.isEmpty()) {
      demand--;
      byte[] bytes = waiting.poll().getBytes(StandardCharsets.UTF_8);
      subscriber.onNext(Unpooled.wrappedBuffer(bytes));
    }
    if (subscriber != null && !ended && completed && waiting.isEmpty()) {
      ended = true;
      subscriber.onComplete();
    }
  }
}
