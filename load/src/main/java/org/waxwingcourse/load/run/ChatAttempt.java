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

/** Records the answer to one attempt of a chat completion request. */
final class ChatAttempt implements StreamListener {
  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Arrival arrival;
  private final boolean checkAnswer;
  private final Supplier<Duration> elapsed;
  private final Duration sentAt;
  private final CompletionReader reader;
  private final List<Duration> partsAt = new ArrayList<>();
  private final CompletableFuture<RequestAttempt> result = new CompletableFuture<>();
  private Optional<HttpAnswer> head = Optional.empty();

  ChatAttempt(Arrival arrival, boolean checkAnswer, Supplier<Duration> elapsed) {
    this.arrival = arrival;
    this.checkAnswer = checkAnswer;
    this.elapsed = elapsed;
    this.sentAt = elapsed.get();
    this.reader = new CompletionReader(arrival.streamed());
  }

  CompletableFuture<RequestAttempt> result() {
    return result;
  }

  @Override
  public void onHead(HttpAnswer newHead) {
    head = Optional.of(newHead);
  }

  @Override
  public void onChunk(byte[] bytes) {
    if (status() == STATUS_OK) {
      int parts = reader.append(bytes);
      Duration now = elapsed.get();
      for (int i = 0; i < parts; i++) {
        partsAt.add(now);
      }
    }
  }

  @Override
  public void onEnd(Option<CallFailure> failure) {
    AttemptOutcome outcome = failure.map(f -> outcomeOf(f.kind())).getOrElse(this::outcomeOfStatus);
    result.complete(new RequestAttempt(sentAt, elapsed.get(), outcome, partsAt, retryAfter()));
  }

  private int status() {
    return head.map(HttpAnswer::status).orElse(0);
  }

  private AttemptOutcome outcomeOfStatus() {
    return switch (status()) {
      case STATUS_OK -> outcomeOfAnswer();
      case STATUS_TOO_MANY_REQUESTS -> AttemptOutcome.RATE_LIMITED;
      case STATUS_UNAVAILABLE -> AttemptOutcome.UNAVAILABLE;
      default -> AttemptOutcome.ERROR_STATUS;
    };
  }

  private AttemptOutcome outcomeOfAnswer() {
    if (!reader.isComplete()) {
      return AttemptOutcome.TRUNCATED;
    }
    int tokens = arrival.organisation().outputTokens();
    boolean correct =
        !checkAnswer
            || StandInAnswerCheck.isExpectedAnswer(reader.text(), arrival.prompt(), tokens);
    return correct ? AttemptOutcome.COMPLETED : AttemptOutcome.WRONG_ANSWER;
  }

  private static AttemptOutcome outcomeOf(CallFailure.Kind kind) {
    return switch (kind) {
      case NOT_SENT -> AttemptOutcome.NOT_SENT;
      case TIMED_OUT -> AttemptOutcome.TIMED_OUT;
      default -> AttemptOutcome.LOST;
    };
  }

  private Optional<Duration> retryAfter() {
    return head.flatMap(answer -> answer.header("Retry-After"))
        .filter(value -> value.matches("\\d{1,6}"))
        .map(value -> Duration.ofSeconds(Long.parseLong(value)));
  }
}
