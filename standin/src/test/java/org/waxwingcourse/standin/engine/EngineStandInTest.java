package org.waxwingcourse.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;

class EngineStandInTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int UNBOUNDED_TOKENS = 1_000_000;

  private final MonotonicClock clock = MonotonicClock.start();
  private final HttpCaller http = HttpCaller.of(clock, 2);
  private final BlockingQueue<String> streamEnds = new LinkedBlockingQueue<>();
  private final StringBuffer streamedText = new StringBuffer();
  private EngineStandIn engine;

  private final StreamListener listener =
      new StreamListener() {
        @Override
        public void onHead(HttpAnswer head) {}

        @Override
        public void onChunk(byte[] bytes) {
          streamedText.append(new String(bytes));
        }

        @Override
        public void onEnd(Option<CallFailure> failure) {
          streamEnds.add(failure.map(f -> f.kind().name()).getOrElse("whole"));
        }
      };

  @BeforeEach
  void start() {
    engine = EngineStandIn.start(EngineOptions.of("m"));
    http.start();
  }

  @AfterEach
  void stop() {
    http.stop();
    engine.stop();
  }

  @Test
  void bufferedAndStreamedResponsesContainTheirRequestId() throws Exception {
    Prompt prompt = Prompt.of("user: which pipe\n");
    HttpAnswer whole = http.call(chatRequest("r1", "which pipe", 3, false)).join().get();
    assertThat(whole.text()).contains(prompt.answer(3), "chatcmpl-r1");
    http.stream(chatRequest("r2", "which pipe", 3, true), listener);
    assertThat(nextStreamEnd()).isEqualTo("whole");
    assertThat(streamedText.toString())
        .contains(prompt.answerToken(0), prompt.answerToken(2), "chatcmpl-r2")
        .doesNotContain(prompt.answerToken(3))
        .endsWith("data: [DONE]\n\n");
    assertThat(engine.runsOf("r1")).isEqualTo(1);
    assertThat(engine.hasSeenHeaderValue("r2")).isTrue();
    assertThat(
            http.call(chatRequest("r3", "x", 1, false).with(Header.of("A", "b"))).join().isRight())
        .isTrue();
  }

  @Test
  void cancelAndDisconnectRemoveSequencesAndResumeDoesNotRunAgain() throws Exception {
    http.stream(chatRequest("c1", "a", UNBOUNDED_TOKENS, true), listener);
    StreamCall second = http.stream(chatRequest("c2", "b", UNBOUNDED_TOKENS, true), listener);
    await(() -> streamedText.toString().contains("c1") && streamedText.toString().contains("c2"));
    assertThat(engine.runningSequences()).isEqualTo(2);
    assertThat(post("/engine/cancel/c1", "{}").get().status()).isEqualTo(200);
    assertThat(nextStreamEnd()).isEqualTo("LOST");
    second.cancel();
    await(() -> engine.runningSequences() == 0);
    streamedText.setLength(0);
    StreamCall resumed =
        http.stream(postRequest("/engine/resume/c2", "{\"from_token\":1}"), listener);
    Prompt prompt = Prompt.of("user: b\n");
    await(() -> streamedText.toString().contains(prompt.answerToken(2)));
    assertThat(streamedText.toString()).doesNotContain(prompt.digest() + "-0\"");
    resumed.cancel();
    assertThat(engine.runsOf("c2")).isEqualTo(1);
  }

  @Test
  void orderWithAnOldFencingNumberIsRejectedWhenChecked() {
    assertThat(sendOrder(7)).isEqualTo(200);
    assertThat(sendOrder(6)).isEqualTo(409);
  }

  @Test
  void killResetsAndRefusesConnectionsUntilTheEngineListensAgain() throws Exception {
    http.stream(chatRequest("k1", "a", UNBOUNDED_TOKENS, true), listener);
    await(() -> streamedText.length() > 0);
    engine.kill();
    assertThat(nextStreamEnd()).isEqualTo("LOST");
    assertThat(
            http.call(chatRequest("k2", "a", 1, false).onFreshConnection()).join().getLeft().kind())
        .isEqualTo(CallFailure.Kind.NOT_SENT);
    engine.listenAgain();
    assertThat(http.call(chatRequest("k3", "a", 1, false)).join().isRight()).isTrue();
  }

  @Test
  void silentConnectionsStaySilentWhileNewConnectionsWork() {
    HttpRequest requestOnOldConnection = chatRequest("s1", "a", 1, false);
    assertThat(http.call(requestOnOldConnection).join().isRight()).isTrue();
    engine.silence();
    HttpRequest withShortDeadline =
        new HttpRequest(
            "POST",
            requestOnOldConnection.uri(),
            requestOnOldConnection.headers(),
            requestOnOldConnection.body(),
            Deadline.after(clock, Duration.ofSeconds(1)),
            true);
    assertThat(http.call(withShortDeadline).join().getLeft().kind())
        .isEqualTo(CallFailure.Kind.TIMED_OUT);
    assertThat(http.call(chatRequest("s2", "a", 1, false).onFreshConnection()).join().isRight())
        .isTrue();
  }

  @Test
  void mismatchedResponsesContainThePreviousRequestId() {
    http.call(chatRequest("x1", "first", 2, false)).join();
    engine.setFaults(new EngineFaults(1, false, 0, 1));
    HttpAnswer mismatched = http.call(chatRequest("x2", "second", 2, false)).join().get();
    assertThat(mismatched.text()).contains("chatcmpl-x1", Prompt.of("user: first\n").digest());
    HttpAnswer own = http.call(chatRequest("x3", "third", 2, false)).join().get();
    assertThat(own.text()).contains("chatcmpl-x3");
  }

  private int sendOrder(int fencing) {
    String json = "{\"fencing\":" + fencing + ",\"kind\":\"load_model\",\"target\":\"n\"}";
    return post("/engine/orders", json).get().status();
  }

  private Either<CallFailure, HttpAnswer> post(String path, String json) {
    return http.call(postRequest(path, json)).join();
  }

  private HttpRequest chatRequest(String id, String content, int tokens, boolean stream) {
    String json =
        """
        {"model":"m","messages":[{"role":"user","content":"%s"}],"max_tokens":%d,"stream":%b}
        """
            .formatted(content, tokens, stream);
    return postRequest("/v1/chat/completions", json).with(Header.of("X-Request-Id", id));
  }

  private HttpRequest postRequest(String path, String json) {
    URI uri = engine.address().resolve(path);
    return HttpRequest.postJson(uri, json, Deadline.after(clock, TIMEOUT));
  }

  private String nextStreamEnd() throws InterruptedException {
    return streamEnds.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private void await(BooleanSupplier condition) {
    Instant last = clock.instant().plus(TIMEOUT);
    while (!condition.getAsBoolean()) {
      assertThat(clock.instant()).isBefore(last);
      Thread.onSpinWait();
    }
  }
}
