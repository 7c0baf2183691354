package org.waxwingcourse.standin.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.GenericFutureListener;
import java.time.InstantSource;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.standin.web.JsonExchange;
import org.waxwingcourse.standin.web.OpenConnections;
import org.waxwingcourse.standin.web.PushStream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.ResponseChunks;

/** Handles chat completion requests, streamed or not, and resumes streams. */
final class ChatHandler {
  private static final int STATUS_NOT_FOUND = 404;
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String EVENT_STREAM = "text/event-stream";

  private final EngineLoop loop;
  private final EngineState state;
  private final InstantSource clock;

  ChatHandler(EngineLoop loop, EngineState state, InstantSource clock) {
    this.loop = loop;
    this.state = state;
    this.clock = clock;
  }

  /** The body of a request to resume a stream. */
  private record ResumeRequest(int fromToken) {}

  void handleCompletion(Context ctx) {
    if (loop.faults().frozen()) {
      JsonExchange.neverRespond();
    } else {
      JsonExchange.parseBody(ctx, ChatRequest.class, request -> runCompletion(ctx, request));
    }
  }

  void handleResume(Context ctx) {
    String requestId = ctx.getPathTokens().get("id");
    JsonExchange.parseBody(
        ctx,
        ResumeRequest.class,
        request -> {
          SseSink sink = new SseSink(ctx, state.firstModel(), false);
          CompletableFuture<Boolean> found = new CompletableFuture<>();
          loop.resume(
              requestId,
              request.fromToken(),
              sink,
              sequence -> {
                sequence.ifPresent(sink::setSequence);
                found.complete(sequence.isPresent());
              });
          Promise.<Boolean>async(downstream -> downstream.accept(found))
              .then(
                  known -> {
                    if (known) {
                      ctx.render(ResponseChunks.bufferChunks(EVENT_STREAM, sink.stream));
                    } else {
                      sendNotFound(ctx, "request \"" + requestId + "\" is not known");
                    }
                  });
        });
  }

  private void runCompletion(Context ctx, ChatRequest request) {
    if (request.model() == null || !state.serves(request.model())) {
      sendNotFound(ctx, "model \"" + request.model() + "\" is not loaded");
      return;
    }
    if (request.messages() == null || request.messages().isEmpty()) {
      JsonExchange.sendBadRequest(ctx, "messages must not be empty");
      return;
    }
    String header = ctx.getRequest().getHeaders().get(REQUEST_ID);
    String requestId = header == null ? UUID.randomUUID().toString() : header;
    state.countRun(requestId);
    if (request.stream()) {
      respondStreaming(ctx, request, requestId);
    } else {
      respondBuffered(ctx, request, requestId);
    }
  }

  private void respondStreaming(Context ctx, ChatRequest request, String requestId) {
    SseSink sink = new SseSink(ctx, request.model(), request.includesUsage());
    Sequence sequence = new Sequence(requestId, request.prompt(), request.tokenLimit(), sink);
    sink.setSequence(sequence);
    loop.admit(sequence, sink::setAnsweredSequence);
    ctx.render(ResponseChunks.bufferChunks(EVENT_STREAM, sink.stream));
  }

  private void respondBuffered(Context ctx, ChatRequest request, String requestId) {
    CompletableFuture<ChatResponses.Completion> answer = new CompletableFuture<>();
    BufferedSink sink = new BufferedSink(request.model(), answer);
    Sequence sequence = new Sequence(requestId, request.prompt(), request.tokenLimit(), sink);
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    ChannelFutureListener onClosed = closed -> loop.cancelDisconnected(sequence, sink);
    channel.closeFuture().addListener(onClosed);
    loop.admit(sequence, answeredSequence -> sink.answeredSequence = answeredSequence);
    Promise.<ChatResponses.Completion>async(downstream -> downstream.accept(answer))
        .onError(dropped -> OpenConnections.reset(ctx))
        .then(
            completion -> {
              GenericFutureListener<ChannelFuture> listener = onClosed;
              channel.closeFuture().removeListener(listener);
              JsonExchange.sendValue(ctx, completion);
            });
  }

  private static void sendNotFound(Context ctx, String message) {
    String body = JsonExchange.encode(ChatResponses.ErrorBody.of(message, "model_not_found"));
    JsonExchange.sendJson(ctx, STATUS_NOT_FOUND, body);
  }

  private long createdSeconds() {
    return clock.instant().getEpochSecond();
  }

  private static String completionId(String requestId) {
    return "chatcmpl-" + requestId;
  }

  private void runDelayed(Runnable action) {
    long delayMillis = loop.faults().lateMillis();
    if (delayMillis == 0) {
      action.run();
      return;
    }
    loop.schedule(delayMillis, action);
  }

  /** Completes the whole response when the sequence has finished. */
  private final class BufferedSink implements TokenSink {
    private final String model;
    private final CompletableFuture<ChatResponses.Completion> answer;
    private Sequence answeredSequence;

    BufferedSink(String model, CompletableFuture<ChatResponses.Completion> answer) {
      this.model = model;
      this.answer = answer;
    }

    @Override
    public void onToken(int index, String text) {}

    @Override
    public void onFinished(Sequence sequence) {
      String id = completionId(answeredSequence.requestId());
      ChatResponses.Completion completion =
          ChatResponses.completion(id, createdSeconds(), model, answeredSequence);
      runDelayed(() -> answer.complete(completion));
    }

    @Override
    public void onDropped() {
      answer.completeExceptionally(new IllegalStateException("the sequence was dropped"));
    }
  }

  /** Sends each token as a server-sent event. */
  private final class SseSink implements TokenSink {
    private final String model;
    private final boolean sendUsage;
    private final PushStream stream;
    private volatile Sequence sequence;
    private Sequence answeredSequence;

    SseSink(Context ctx, String model, boolean sendUsage) {
      this.model = model;
      this.sendUsage = sendUsage;
      this.stream = PushStream.create(ctx, () -> loop.cancelDisconnected(sequence, this));
    }

    void setSequence(Sequence newSequence) {
      sequence = newSequence;
      answeredSequence = newSequence;
    }

    void setAnsweredSequence(Sequence newSequence) {
      answeredSequence = newSequence;
    }

    @Override
    public void onToken(int index, String text) {
      String answerToken = answeredSequence.prompt().answerToken(index);
      send(ChatResponses.tokenChunk(id(), createdSeconds(), model, index, answerToken));
    }

    @Override
    public void onFinished(Sequence finished) {
      send(ChatResponses.finishChunk(id(), createdSeconds(), model));
      if (sendUsage) {
        send(ChatResponses.usageChunk(id(), createdSeconds(), model, finished));
      }
      runDelayed(
          () -> {
            stream.push("data: [DONE]\n\n");
            stream.complete();
          });
    }

    @Override
    public void onDropped() {
      stream.abort();
    }

    private String id() {
      return completionId(answeredSequence.requestId());
    }

    private void send(ChatResponses.Completion completion) {
      String event = "data: " + JsonExchange.encode(completion) + "\n\n";
      runDelayed(() -> stream.push(event));
    }
  }
}
