package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.wire.fleet.JobResult;

/** An item's text went on in a run that was asked for another position than that of the text. */
class ItemOfTwoRunsTest {
  private static final UpstreamId ENGINE = UpstreamId.of("e1");

  /** Longer than an item waits before it asks for a slot again. */
  private static final Duration RETRY = Duration.ofMillis(400);

  private final RunnerFixture fixture = new RunnerFixture();

  @BeforeEach
  void runJob() {
    fixture.runJob(1);
  }

  @AfterEach
  void stop() {
    fixture.stop();
  }

  private EngineListener answerOf(int attempt) {
    EngineListener answer = fixture.answers.get(attempt);
    answer.onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    return answer;
  }

  private static void send(EngineListener answer, String data, int firstId, int lastId) {
    for (int id = firstId; id <= lastId; id++) {
      String event = "id: " + id + "\ndata: " + data + id + "\n\n";
      answer.onBytes(event.getBytes(StandardCharsets.US_ASCII));
    }
  }

  private static void lose(EngineListener answer) {
    answer.onEnd(Option.some(new CallFailure(CallFailure.Kind.LOST, "reset")));
  }

  private void grantAgain() {
    fixture.timer.advance(RETRY);
    fixture.grantAll();
  }

  private List<String> results() {
    fixture.timer.advance(Duration.ofSeconds(1));
    return fixture.stored().stream().map(JobResult::getText).toList();
  }

  /** Two coordinators grant the same request. */
  @Test
  void itemGrantedTwiceIsSentOnce() {
    long number = fixture.grantAll().get(0);
    fixture.recordedSlots.listenerOf(number).onGrant(ENGINE, Option.none(), Duration.ZERO);
    fixture.timer.advance(Duration.ZERO);
    assertThat(fixture.received).hasSize(1);
    assertThat(fixture.unusedSlots).isEmpty();
  }

  @Test
  void lateCopyOfAnEarlierRunIsNotJoined() {
    fixture.grantAll();
    EngineListener first = answerOf(0);
    send(first, "first", 1, 2);
    lose(first);
    grantAgain();
    assertThat(fixture.received.get(1).resumeAfter()).contains(2L);
    EngineListener copy = answerOf(1);
    send(copy, "copy", 1, 4);
    copy.onEnd(Option.none());
    grantAgain();
    assertThat(fixture.received.get(2).resumeAfter()).isEmpty();
    EngineListener third = answerOf(2);
    send(third, "third", 1, 4);
    third.onEnd(Option.none());
    assertThat(results()).containsExactly("third1\nthird2\nthird3\nthird4");
  }

  @Test
  void runThatLeavesEventsOutIsNotJoined() {
    fixture.grantAll();
    EngineListener first = answerOf(0);
    send(first, "first", 1, 2);
    send(first, "first", 4, 5);
    first.onEnd(Option.none());
    grantAgain();
    assertThat(fixture.received.get(1).resumeAfter()).contains(2L);
    EngineListener second = answerOf(1);
    send(second, "second", 3, 4);
    second.onEnd(Option.none());
    assertThat(results()).containsExactly("first1\nfirst2\nsecond3\nsecond4");
  }

  /** Engines that never go on where they are asked to were tried again without a pause. */
  @Test
  void itemWhoseRunsAreOutOfPlaceIsTriedMoreAndMoreRarely() {
    fixture.grantAll();
    for (int i = 0; i < 20; i++) {
      int attempt = fixture.received.size() - 1;
      EngineListener answer = answerOf(attempt);
      send(answer, "w", 1, 2);
      send(answer, "w", 4, 4);
      fixture.timer.advance(Duration.ofSeconds(1));
      fixture.grantAll();
    }
    assertThat(fixture.received).hasSizeBetween(4, 8);
  }

  @Test
  void commentOfAnEngineIsNoPartOfTheText() {
    fixture.grantAll();
    EngineListener first = answerOf(0);
    send(first, "first", 1, 1);
    first.onBytes(": still here\n\n".getBytes(StandardCharsets.US_ASCII));
    send(first, "first", 2, 2);
    first.onEnd(Option.none());
    assertThat(results()).containsExactly("first1\nfirst2");
  }

  /** A comment before the first event made the item keep events that no engine goes on with. */
  @Test
  void itemBeginsAnewThoughACommentComesBeforeTheCopy() {
    fixture.grantAll();
    EngineListener first = answerOf(0);
    send(first, "first", 1, 2);
    lose(first);
    grantAgain();
    EngineListener copy = answerOf(1);
    copy.onBytes(": still here\n\n".getBytes(StandardCharsets.US_ASCII));
    send(copy, "copy", 1, 1);
    grantAgain();
    assertThat(fixture.received.get(2).resumeAfter()).isEmpty();
  }

  /** Nobody can ask an engine for the events after one that has no id. */
  @Test
  void itemBeginsAnewAfterAnEventWithoutId() {
    fixture.grantAll();
    EngineListener first = answerOf(0);
    send(first, "first", 1, 2);
    first.onBytes("data: first3\n\n".getBytes(StandardCharsets.US_ASCII));
    lose(first);
    grantAgain();
    assertThat(fixture.received.get(1).resumeAfter()).isEmpty();
  }
}
