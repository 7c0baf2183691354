package org.waxwingcourse.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.http.client.StreamedResponse;

/**
 * A streamed call on Ratpack's client. Fields that are not volatile are confined to the event loop
 * that runs the call.
 */
final class RatpackStreamCall implements StreamCall, Subscriber<ByteBuf> {
  private final StreamListener listener;
  private final Consumer<CallFailure> onFailure;
  private volatile EventLoop loop;
  private volatile boolean cancelled;
  private Subscription subscription;
  private Future<?> timer;
  private boolean ended;

  RatpackStreamCall(StreamListener listener, Consumer<CallFailure> onFailure) {
    this.listener = listener;
    this.onFailure = onFailure;
  }

  /** Binds the call to its event loop and returns whether the request is still to be sent. */
  boolean bind(EventLoop eventLoop) {
    loop = eventLoop;
    if (cancelled) {
      cancelNow();
    }
    return !ended;
  }

  void scheduleTimeout(Duration timeLeft, CallFailure failure) {
    timer = loop.schedule(() -> abort(failure), timeLeft.toMillis(), TimeUnit.MILLISECONDS);
  }

  void onResponse(StreamedResponse response) {
    if (!ended) {
      listener.onHead(
          new HttpAnswer(
              response.getStatusCode(), HttpCaller.headersOf(response.getHeaders()), new byte[0]));
    }
    response.getBody().subscribe(this);
  }

  @Override
  public void cancel() {
    cancelled = true;
    EventLoop currentLoop = loop;
    if (currentLoop != null) {
      currentLoop.execute(this::cancelNow);
    }
  }

  @Override
  public void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    if (ended) {
      subscription.cancel();
    } else {
      subscription.request(1);
    }
  }

  @Override
  public void onNext(ByteBuf buffer) {
    byte[] bytes = ByteBufUtil.getBytes(buffer);
    buffer.release();
    if (!ended) {
      listener.onChunk(bytes);
      subscription.request(1);
    }
  }

  @Override
  public void onError(Throwable error) {
    finish(Option.some(HttpCaller.toFailure(error)));
  }

  @Override
  public void onComplete() {
    finish(Option.none());
  }

  void finish(Option<CallFailure> failure) {
    if (!ended) {
      ended = true;
      if (timer != null) {
        timer.cancel(false);
      }
      failure.peek(onFailure);
      listener.onEnd(failure);
    }
  }

  private void cancelNow() {
    abort(new CallFailure(CallFailure.Kind.CANCELLED, "the call was cancelled"));
  }

  private void abort(CallFailure failure) {
    if (ended) {
      return;
    }
    finish(Option.some(failure));
    if (subscription != null) {
      subscription.cancel();
    }
  }
}
