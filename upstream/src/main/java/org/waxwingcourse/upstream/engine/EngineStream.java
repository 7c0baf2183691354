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
 * One answer of an engine on its way to a listener. Streamed answers are handed on in whole events
 * only and must close with the published final event; an answer that just stops is unknown, never
 * done. Other answers are handed on whole. An answer to another request is never handed on. A
 * watchdog ends a streamed answer that keeps silent longer than the limits allow.
 */
final class EngineStream implements StreamListener, EngineCall {
  private static final int RETRY_SECONDS = 1;
  private static final int NOT_FOUND = 404;
  private static final int MAX_ERROR_CHARS = 4096;

  private final Engine engine;
  private final InferenceRequest request;
  private final AnswerListener listener;
  private final EngineLimits limits;
  private final InstantSource clock;
  private final ScheduledExecutorService timer;
  private final AnswerId id;
  private final Function<StreamListener, StreamCall> send;
  private final SseEvents events;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private volatile Deadline silence;
  private volatile StreamCall call;
  private volatile int tokens;
  private int status;
  private String contentType;
  private boolean eventStream;
  private boolean started;
  private boolean ended;

  EngineStream(
      Engine engine,
      InferenceRequest request,
      AnswerListener listener,
      EngineLimits limits,
      InstantSource clock,
      ScheduledExecutorService timer,
      AnswerId id,
      Function<StreamListener, StreamCall> send) {
    this.send = send;
    this.id = id;
    this.events = new SseEvents(id);
    this.engine = engine;
    this.request = request;
    this.listener = listener;
    this.limits = limits;
    this.clock = clock;
    this.timer = timer;
    this.silence =
        request.stream() ? Deadline.after(clock, limits.firstByte()) : request.deadline();
  }

  @Override
  public void begin() {
    if (isEnded()) {
      return;
    }
    StreamCall sent = send.apply(this);
    call = sent;
    if (isEnded()) {
      sent.cancel();
    }
    watch();
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
    heard();
    timer.execute(this::watch);
    status = head.status();
    contentType = head.header("Content-Type").orElse("application/json");
    eventStream = status < 300 && contentType.startsWith("text/event-stream");
  }

  @Override
  public synchronized void onChunk(byte[] bytes) {
    heard();
    if (ended) {
      return;
    }
    if (!eventStream) {
      body.writeBytes(bytes);
      return;
    }
    byte[] whole = events.take(bytes);
    if (events.crossed()) {
      end(crossed());
      closeCall();
    } else if (whole.length > 0) {
      tokens = events.tokens();
      deliver(whole);
    }
  }

  @Override
  public void onEnd(Option<CallFailure> failure) {
    end(failure.map(this::outcomeOf).getOrElse(this::outcomeOfWhole));
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
    if (!started) {
      started = true;
      listener.onStart(status, contentType);
    }
    listener.onChunk(bytes);
  }

  private Outcome crossed() {
    return new Outcome.Unknown("engine \"" + engine.id() + "\" answered another request");
  }

  private void heard() {
    if (request.stream()) {
      silence = Deadline.after(clock, limits.nextByte());
    }
  }

  private void watch() {
    Instant now = clock.instant();
    if (isEnded()) {
      return;
    }
    if (silence.isPast(now)) {
      end(new Outcome.Unknown("engine \"" + engine.id() + "\" kept silent"));
      closeCall();
      return;
    }
    long wait = silence.remaining(now).toMillis() + 1;
    timer.schedule(this::watch, wait, TimeUnit.MILLISECONDS);
  }

  private synchronized boolean isEnded() {
    return ended;
  }

  private Outcome outcomeOf(CallFailure failure) {
    String message = "engine \"" + engine.id() + "\": " + failure.message();
    if (failure.kind() == CallFailure.Kind.NOT_SENT) {
      return refused(RefusalCode.UNAVAILABLE, message);
    }
    return new Outcome.Unknown(message);
  }

  private Outcome outcomeOfWhole() {
    if (status == NOT_FOUND) {
      String model = "engine \"" + engine.id() + "\" lacks model \"" + request.model() + "\"";
      return refused(RefusalCode.UNAVAILABLE, model);
    }
    if (saysNotRun(status)) {
      return refused(RefusalCode.OVERLOADED, "engine \"" + engine.id() + "\" is full");
    }
    if (!passes(status)) {
      return new Outcome.Failed(status, errorText());
    }
    if (!eventStream && id.isOfAnother(body.toString(StandardCharsets.UTF_8))) {
      return crossed();
    }
    if (eventStream && !events.done()) {
      return new Outcome.Unknown("engine \"" + engine.id() + "\" broke its answer off");
    }
    return new Outcome.Done();
  }

  private String errorText() {
    String text = body.toString(StandardCharsets.UTF_8);
    return text.substring(0, Math.min(text.length(), MAX_ERROR_CHARS));
  }

  private Outcome refused(RefusalCode code, String message) {
    return new Outcome.Refused(
        new Refusal(code, message, clock.instant().plusSeconds(RETRY_SECONDS)));
  }

  private static boolean saysNotRun(int status) {
    return status == NOT_FOUND || status == 429 || status == 503;
  }

  private static boolean passes(int status) {
    return !saysNotRun(status) && status < 500;
  }
}
