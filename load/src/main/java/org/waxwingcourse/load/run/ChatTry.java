package org.waxwingcourse.load.run;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.load.plan.Arrival;

/** Listens to the answer of one try. */
final class ChatTry implements StreamListener {
  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Arrival arrival;
  private final boolean checkAnswer;
  private final Supplier<Duration> elapsed;
  private final Duration sentAt;
  private final AnswerReader reader;
  private final List<Duration> partsAt = new ArrayList<>();
  private final CompletableFuture<Try> result = new CompletableFuture<>();
  private Optional<HttpAnswer> head = Optional.empty();

  ChatTry(Arrival arrival, boolean checkAnswer, Supplier<Duration> elapsed) {
    this.arrival = arrival;
    this.checkAnswer = checkAnswer;
    this.elapsed = elapsed;
    this.sentAt = elapsed.get();
    this.reader = new AnswerReader(arrival.streamed());
  }

  CompletableFuture<Try> result() {
    return result;
  }

  @Override
  public void onHead(HttpAnswer newHead) {
    head = Optional.of(newHead);
  }

  @Override
  public void onChunk(byte[] bytes) {
    if (status() == STATUS_OK) {
      int parts = reader.take(bytes);
      Duration now = elapsed.get();
      for (int i = 0; i < parts; i++) {
        partsAt.add(now);
      }
    }
  }

  @Override
  public void onEnd(Option<CallFailure> failure) {
    TryOutcome outcome = failure.map(f -> outcomeOf(f.kind())).getOrElse(this::outcomeOfStatus);
    result.complete(new Try(sentAt, elapsed.get(), outcome, partsAt, retryAfter()));
  }

  private int status() {
    return head.map(HttpAnswer::status).orElse(0);
  }

  private TryOutcome outcomeOfStatus() {
    return switch (status()) {
      case STATUS_OK -> outcomeOfAnswer();
      case STATUS_TOO_MANY -> TryOutcome.RATE_LIMITED;
      case STATUS_UNAVAILABLE -> TryOutcome.UNAVAILABLE;
      default -> TryOutcome.ERROR_STATUS;
    };
  }

  private TryOutcome outcomeOfAnswer() {
    if (!reader.isWhole()) {
      return TryOutcome.TRUNCATED;
    }
    int tokens = arrival.organisation().outputTokens();
    boolean own = !checkAnswer || AnswerCheck.isOwn(reader.text(), arrival.prompt(), tokens);
    return own ? TryOutcome.COMPLETED : TryOutcome.WRONG_ANSWER;
  }

  private static TryOutcome outcomeOf(CallFailure.Kind kind) {
    return switch (kind) {
      case NOT_SENT -> TryOutcome.NOT_SENT;
      case TIMED_OUT -> TryOutcome.TIMED_OUT;
      default -> TryOutcome.LOST;
    };
  }

  private Optional<Duration> retryAfter() {
    return head.flatMap(answer -> answer.header("Retry-After"))
        .filter(value -> value.matches("\\d{1,6}"))
        .map(value -> Duration.ofSeconds(Long.parseLong(value)));
  }
}
