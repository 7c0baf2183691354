package org.waxwingcourse.node.dispatch;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * The tries of one request. Inference may be repeated as long as its caller has seen nothing of an
 * answer; a try that ends without one is followed by another on another engine inside the retry
 * budget. Otherwise the request ends at once with the outcome of its last try.
 */
final class DispatchAttempts implements Call {
  private static final int MAX_RETRIES = 3;
  private static final int INTERNAL_ERROR = 500;

  private final FleetDispatcher dispatcher;
  private final InferenceRequest request;
  private final AnswerListener listener;
  private final List<UpstreamId> tried = new ArrayList<>();
  private Call current = () -> {};
  private int retry;
  private boolean started;
  private boolean ended;

  DispatchAttempts(FleetDispatcher dispatcher, InferenceRequest request, AnswerListener listener) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.listener = listener;
  }

  void begin() {
    synchronized (this) {
      if (ended) {
        return;
      }
    }
    Call call = dispatcher.send(request, tried, new Try());
    boolean cancelled;
    synchronized (this) {
      current = call;
      cancelled = ended;
    }
    if (cancelled) {
      call.cancel();
    }
  }

  @Override
  public void cancel() {
    Call call;
    synchronized (this) {
      call = current;
    }
    finish(new Outcome.Unknown("request " + request.id() + " was cancelled"));
    call.cancel();
  }

  private void finish(Outcome outcome) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    listener.onEnd(outcome);
  }

  private void tryEnded(Outcome outcome) {
    Option<Instant> next = Option.none();
    synchronized (this) {
      if (!ended && !started && mayHelp(outcome) && retry < MAX_RETRIES) {
        next = dispatcher.retries().next(retry, request.deadline());
        retry++;
      }
    }
    if (next.isEmpty()) {
      finish(outcome);
      return;
    }
    long wait = Duration.between(dispatcher.clock().instant(), next.get()).toMillis();
    dispatcher.timer().schedule(this::begin, Math.max(0, wait), TimeUnit.MILLISECONDS);
  }

  private static boolean mayHelp(Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      RefusalCode code = refused.refusal().code();
      return code == RefusalCode.UNAVAILABLE || code == RefusalCode.OVERLOADED;
    }
    if (outcome instanceof Outcome.Failed failed) {
      return failed.status() >= INTERNAL_ERROR;
    }
    return outcome instanceof Outcome.Unknown;
  }

  /** One try on one engine. */
  private final class Try implements AnswerListener {
    @Override
    public void onStart(int status, String contentType) {
      synchronized (DispatchAttempts.this) {
        if (ended) {
          return;
        }
        started = true;
      }
      listener.onStart(status, contentType);
    }

    @Override
    public void onChunk(byte[] bytes) {
      listener.onChunk(bytes);
    }

    @Override
    public void onEnd(Outcome outcome) {
      tryEnded(outcome);
    }
  }
}
