package org.waxwingcourse.upstream.engine;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;

/**
 * A call to an engine over HTTP that passes the response to a listener. A streamed response is
 * passed on in complete events only and must end with the published final event; if it ends without
 * that event, the outcome is unknown. Other responses are passed on when they are complete. A
 * response that belongs to another request is never passed on. A timer ends a streamed response
 * that receives no data for longer than the limits allow.
 */
final class HttpEngineCall implements StreamListener, EngineCall {
  private static final int RETRY_DELAY_SECONDS = 1;
  private static final int NOT_FOUND = 404;
  private static final int MAX_ERROR_CHARS = 4096;

  private final Engine engine;
  private final InferenceRequest request;
  private final AnswerListener listener;
  private final EngineLimits limits;
  private final InstantSource clock;
  private final ScheduledExecutorService timer;
  private final ResponseIdCheck idCheck;
  private final Function<StreamListener, StreamCall> sender;
  private final SseEventSplitter splitter;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private volatile Deadline silenceDeadline;
  private volatile StreamCall call;
  private volatile int tokens;
  private int status;
  private String contentType;
  private boolean eventStream;
  private boolean headDelivered;
  private boolean ended;

  HttpEngineCall(
      Engine engine,
      InferenceRequest request,
      AnswerListener listener,
      EngineLimits limits,
      InstantSource clock,
      ScheduledExecutorService timer,
      ResponseIdCheck idCheck,
      Function<StreamListener, StreamCall> sender) {
    this.sender = sender;
    this.idCheck = idCheck;
    this.splitter = new SseEventSplitter(idCheck);
    this.engine = engine;
    this.request = request;
    this.listener = listener;
    this.limits = limits;
    this.clock = clock;
    this.timer = timer;
    this.silenceDeadline =
        request.stream() ? Deadline.after(clock, limits.firstByte()) : request.deadline();
  }

  @Override
  public void begin() {
    if (isEnded()) {
      return;
    }
    StreamCall sent = sender.apply(this);
    call = sent;
    if (isEnded()) {
      sent.cancel();
    }
    checkSilence();
  }

  @Override
  public void cancel() {
    end(new Outcome.Unknown("request " + request.id() + " was cancelled"));
    closeCall();
  }

  private void closeCall() {
    StreamCall sent = call;
    if (sent != null) {
      sent.cancel();
    }
  }

  @Override
  public int tokens() {
    return tokens;
  }

  @Override
  public synchronized void onHead(HttpAnswer head) {
    extendSilenceDeadline();
    timer.execute(this::checkSilence);
    status = head.status();
    contentType = head.header("Content-Type").orElse("application/json");
    eventStream = status < 300 && contentType.startsWith("text/event-stream");
  }

  @Override
  public synchronized void onChunk(byte[] bytes) {
    extendSilenceDeadline();
    if (ended) {
      return;
    }
    if (!eventStream) {
      body.writeBytes(bytes);
      return;
    }
    byte[] completeEvents = splitter.append(bytes);
    if (splitter.mismatched()) {
      end(mismatchedResponse());
      closeCall();
    } else if (completeEvents.length > 0) {
      tokens = splitter.tokens();
      deliver(completeEvents);
    }
  }

  @Override
  public void onEnd(Option<CallFailure> failure) {
    end(failure.map(this::outcomeOfFailure).getOrElse(this::outcomeOfCompleteResponse));
  }

  private synchronized void end(Outcome outcome) {
    if (!ended) {
      ended = true;
      if (outcome instanceof Outcome.Done && !eventStream) {
        deliver(body.toByteArray());
      }
      listener.onEnd(outcome);
    }
  }

  private void deliver(byte[] bytes) {
    if (!headDelivered) {
      headDelivered = true;
      listener.onStart(status, contentType);
    }
    listener.onChunk(bytes);
  }

  private Outcome mismatchedResponse() {
    return new Outcome.Unknown(
        "engine \"" + engine.id() + "\" returned a response to another request");
  }

  private void extendSilenceDeadline() {
    if (request.stream()) {
      silenceDeadline = Deadline.after(clock, limits.nextByte());
    }
  }

  private void checkSilence() {
    Instant now = clock.instant();
    if (isEnded()) {
      return;
    }
    if (silenceDeadline.isPast(now)) {
      end(new Outcome.Unknown("engine \"" + engine.id() + "\" sent no data within the time limit"));
      closeCall();
      return;
    }
    long wait = silenceDeadline.remaining(now).toMillis() + 1;
    timer.schedule(this::checkSilence, wait, TimeUnit.MILLISECONDS);
  }

  private synchronized boolean isEnded() {
    return ended;
  }

  private Outcome outcomeOfFailure(CallFailure failure) {
    String message = "engine \"" + engine.id() + "\": " + failure.message();
    if (failure.kind() == CallFailure.Kind.NOT_SENT) {
      return refusedOutcome(RefusalCode.UNAVAILABLE, message);
    }
    return new Outcome.Unknown(message);
  }

  private Outcome outcomeOfCompleteResponse() {
    if (status == NOT_FOUND) {
      String model =
          "engine \"" + engine.id() + "\" does not serve model \"" + request.model() + "\"";
      return refusedOutcome(RefusalCode.UNAVAILABLE, model);
    }
    if (isNotExecuted(status)) {
      return refusedOutcome(
          RefusalCode.OVERLOADED, "engine \"" + engine.id() + "\" is at capacity");
    }
    if (!isPassedOn(status)) {
      return new Outcome.Failed(status, errorText());
    }
    if (!eventStream && idCheck.belongsToOtherRequest(body.toString(StandardCharsets.UTF_8))) {
      return mismatchedResponse();
    }
    if (eventStream && !splitter.isComplete()) {
      return new Outcome.Unknown(
          "engine \"" + engine.id() + "\" ended its response before the final event");
    }
    return new Outcome.Done();
  }

  private String errorText() {
    String text = body.toString(StandardCharsets.UTF_8);
    return text.substring(0, Math.min(text.length(), MAX_ERROR_CHARS));
  }

  private Outcome refusedOutcome(RefusalCode code, String message) {
    return new Outcome.Refused(
        new Refusal(code, message, clock.instant().plusSeconds(RETRY_DELAY_SECONDS)));
  }

  private static boolean isNotExecuted(int status) {
    return status == NOT_FOUND || status == 429 || status == 503;
  }

  private static boolean isPassedOn(int status) {
    return !isNotExecuted(status) && status < 500;
  }
}
