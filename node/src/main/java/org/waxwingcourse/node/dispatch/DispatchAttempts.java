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
 * The attempts to execute one request. Inference may be repeated as long as its caller has received
 * no part of a response, so an attempt that ends without one is followed by an attempt on another
 * engine within the retry budget. Otherwise the request ends immediately with the outcome of its
 * last attempt.
 */
final class DispatchAttempts implements Call {
  private static final int MAX_RETRIES = 3;
  private static final int INTERNAL_ERROR = 500;

  private final FleetDispatcher dispatcher;
  private final InferenceRequest request;
  private final AnswerListener listener;
  private final List<UpstreamId> triedEngines = new ArrayList<>();
  private Call currentCall = () -> {};
  private int retryCount;
  private boolean responseStarted;
  private boolean ended;

  DispatchAttempts(FleetDispatcher dispatcher, InferenceRequest request, AnswerListener listener) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.listener = listener;
  }

  void startAttempt() {
    synchronized (this) {
      if (ended) {
        return;
      }
    }
    Call call = dispatcher.sendToEngine(request, triedEngines, new Attempt());
    boolean cancelled;
    synchronized (this) {
      currentCall = call;
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
      call = currentCall;
    }
    endRequest(new Outcome.Unknown("request " + request.id() + " was cancelled"));
    call.cancel();
  }

  private void endRequest(Outcome outcome) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    listener.onEnd(outcome);
  }

  private void onAttemptEnded(Outcome outcome) {
    Option<Instant> next = Option.none();
    synchronized (this) {
      if (!ended && !responseStarted && isRetryable(outcome) && retryCount < MAX_RETRIES) {
        next = dispatcher.retries().next(retryCount, request.deadline());
        retryCount++;
      }
    }
    if (next.isEmpty()) {
      endRequest(outcome);
      return;
    }
    long wait = Duration.between(dispatcher.clock().instant(), next.get()).toMillis();
    dispatcher.timer().schedule(this::startAttempt, Math.max(0, wait), TimeUnit.MILLISECONDS);
  }

  private static boolean isRetryable(Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      RefusalCode code = refused.refusal().code();
      return code == RefusalCode.UNAVAILABLE || code == RefusalCode.OVERLOADED;
    }
    if (outcome instanceof Outcome.Failed failed) {
      return failed.status() >= INTERNAL_ERROR;
    }
    return outcome instanceof Outcome.Unknown;
  }

  /** Receives the response of one attempt on one engine. */
  private final class Attempt implements AnswerListener {
    @Override
    public void onStart(int status, String contentType) {
      synchronized (DispatchAttempts.this) {
        if (ended) {
          return;
        }
        responseStarted = true;
      }
      listener.onStart(status, contentType);
    }

    @Override
    public void onChunk(byte[] bytes) {
      listener.onChunk(bytes);
    }

    @Override
    public void onEnd(Outcome outcome) {
      onAttemptEnded(outcome);
    }
  }
}
