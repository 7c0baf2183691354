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

/** Answers chat completions, whole and streamed, and resumes streams. */
final class ChatHandler {
  private static final int STATUS_NOT_FOUND = 404;
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String EVENT_STREAM = "text/event-stream";

  private final EngineLoop loop;
  private final EngineRecords records;
  private final InstantSource clock;

  ChatHandler(EngineLoop loop, EngineRecords records, InstantSource clock) {
    this.loop = loop;
    this.records = records;
    this.clock = clock;
  }

  /** The body of a call to resume a stream. */
  private record ResumeOrder(int fromToken) {}

  void complete(Context ctx) {
    if (loop.faults().frozen()) {
      JsonExchange.neverRespond();
    } else {
      JsonExchange.parseBody(ctx, ChatRequest.class, request -> run(ctx, request));
    }
  }

  void resume(Context ctx) {
    String requestId = ctx.getPathTokens().get("id");
    JsonExchange.parseBody(
        ctx,
        ResumeOrder.class,
        order -> {
          SseSink sink = new SseSink(ctx, records.anyModel(), false);
          CompletableFuture<Boolean> found = new CompletableFuture<>();
          loop.resume(
              requestId,
              order.fromToken(),
              sink,
              sequence -> {
                sequence.ifPresent(sink::attach);
                found.complete(sequence.isPresent());
              });
          Promise.<Boolean>async(downstream -> downstream.accept(found))
              .then(
                  known -> {
                    if (known) {
                      ctx.render(ResponseChunks.bufferChunks(EVENT_STREAM, sink.stream));
                    } else {
                      notFound(ctx, "request \"" + requestId + "\" is not known");
                    }
                  });
        });
  }

  private void run(Context ctx, ChatRequest request) {
    if (request.model() == null || !records.serves(request.model())) {
      notFound(ctx, "model \"" + request.model() + "\" is not loaded");
      return;
    }
    if (request.messages() == null || request.messages().isEmpty()) {
      JsonExchange.sendBadRequest(ctx, "messages must not be empty");
      return;
    }
    String header = ctx.getRequest().getHeaders().get(REQUEST_ID);
    String requestId = header == null ? UUID.randomUUID().toString() : header;
    records.countRun(requestId);
    if (request.stream()) {
      stream(ctx, request, requestId);
    } else {
      whole(ctx, request, requestId);
    }
  }

  private void stream(Context ctx, ChatRequest request, String requestId) {
    SseSink sink = new SseSink(ctx, request.model(), request.wantsUsage());
    Sequence sequence = new Sequence(requestId, request.prompt(), request.tokensWanted(), sink);
    sink.attach(sequence);
    loop.admit(sequence, sink::answerAs);
    ctx.render(ResponseChunks.bufferChunks(EVENT_STREAM, sink.stream));
  }

  private void whole(Context ctx, ChatRequest request, String requestId) {
    CompletableFuture<ChatAnswer.Completion> answer = new CompletableFuture<>();
    WholeSink sink = new WholeSink(request.model(), answer);
    Sequence sequence = new Sequence(requestId, request.prompt(), request.tokensWanted(), sink);
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    ChannelFutureListener onClosed = closed -> loop.disconnect(sequence, sink);
    channel.closeFuture().addListener(onClosed);
    loop.admit(sequence, answering -> sink.answering = answering);
    Promise.<ChatAnswer.Completion>async(downstream -> downstream.accept(answer))
        .onError(dropped -> OpenConnections.reset(ctx))
        .then(
            completion -> {
              GenericFutureListener<ChannelFuture> listener = onClosed;
              channel.closeFuture().removeListener(listener);
              JsonExchange.sendValue(ctx, completion);
            });
  }

  private static void notFound(Context ctx, String message) {
    String body = JsonExchange.encode(ChatAnswer.ErrorBody.of(message, "model_not_found"));
    JsonExchange.sendJson(ctx, STATUS_NOT_FOUND, body);
  }

  private long created() {
    return clock.instant().getEpochSecond();
  }

  private static String answerId(String requestId) {
    return "chatcmpl-" + requestId;
  }

  private void later(Runnable action) {
    long late = loop.faults().lateMillis();
    if (late == 0) {
      action.run();
      return;
    }
    loop.later(late, action);
  }

  /** Collects a whole answer. */
  private final class WholeSink implements TokenSink {
    private final String model;
    private final CompletableFuture<ChatAnswer.Completion> answer;
    private Sequence answering;

    WholeSink(String model, CompletableFuture<ChatAnswer.Completion> answer) {
      this.model = model;
      this.answer = answer;
    }

    @Override
    public void onToken(int index, String text) {}

    @Override
    public void onFinished(Sequence sequence) {
      String id = answerId(answering.requestId());
      ChatAnswer.Completion completion = ChatAnswer.whole(id, created(), model, answering);
      later(() -> answer.complete(completion));
    }

    @Override
    public void onDropped() {
      answer.completeExceptionally(new IllegalStateException("the sequence was dropped"));
    }
  }

  /** Sends an answer token by token as server-sent events. */
  private final class SseSink implements TokenSink {
    private final String model;
    private final boolean usage;
    private final PushStream stream;
    private volatile Sequence sequence;
    private Sequence answering;

    SseSink(Context ctx, String model, boolean usage) {
      this.model = model;
      this.usage = usage;
      this.stream = PushStream.create(ctx, () -> loop.disconnect(sequence, this));
    }

    void attach(Sequence own) {
      sequence = own;
      answering = own;
    }

    void answerAs(Sequence other) {
      answering = other;
    }

    @Override
    public void onToken(int index, String text) {
      String answered = answering.prompt().answerToken(index);
      send(ChatAnswer.part(id(), created(), model, index, answered));
    }

    @Override
    public void onFinished(Sequence finished) {
      send(ChatAnswer.lastPart(id(), created(), model));
      if (usage) {
        send(ChatAnswer.usagePart(id(), created(), model, finished));
      }
      later(
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
      return answerId(answering.requestId());
    }

    private void send(ChatAnswer.Completion completion) {
      String event = "data: " + JsonExchange.encode(completion) + "\n\n";
      later(() -> stream.push(event));
    }
  }
}
