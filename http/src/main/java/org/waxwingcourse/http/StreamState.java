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
 * The state of one streamed call. All fields but the flags are touched only by the event loop that
 * runs the call.
 */
final class StreamState implements StreamCall, Subscriber<ByteBuf> {
  private final StreamListener listener;
  private final Consumer<CallFailure> onFailure;
  private volatile EventLoop loop;
  private volatile boolean cancelled;
  private Subscription subscription;
  private Future<?> timer;
  private boolean ended;

  StreamState(StreamListener listener, Consumer<CallFailure> onFailure) {
    this.listener = listener;
    this.onFailure = onFailure;
  }

  /** Ties the call to its event loop; returns whether it is still wanted. */
  boolean bind(EventLoop eventLoop) {
    loop = eventLoop;
    if (cancelled) {
      cancelNow();
    }
    return !ended;
  }

  void endAfter(Duration left, CallFailure failure) {
    timer = loop.schedule(() -> abort(failure), left.toMillis(), TimeUnit.MILLISECONDS);
  }

  void accept(StreamedResponse response) {
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
    EventLoop bound = loop;
    if (bound != null) {
      bound.execute(this::cancelNow);
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
    end(Option.some(HttpCaller.failureOf(error)));
  }

  @Override
  public void onComplete() {
    end(Option.none());
  }

  void end(Option<CallFailure> failure) {
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
    abort(new CallFailure(CallFailure.Kind.CANCELLED, "the caller cancelled the call"));
  }

  private void abort(CallFailure failure) {
    if (ended) {
      return;
    }
    end(Option.some(failure));
    if (subscription != null) {
      subscription.cancel();
    }
  }
}
