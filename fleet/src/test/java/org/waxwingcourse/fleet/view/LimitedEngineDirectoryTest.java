package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.engine.StatedLimit;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/** Which limits a host reads from the answers of engines, and what takes them back. */
class LimitedEngineDirectoryTest {
  private static final UpstreamId ENGINE = UpstreamId.of("engine");
  private static final HostId OTHER_HOST = HostId.of("other");
  private static final RequestId REQUEST = RequestId.of("r");
  private static final StatedLimit THREE = new StatedLimit.Limit(new RequestRate(3));

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final StoreTable table = new StoreTable();
  private final EngineDirectory directory = new EngineDirectory(table, FleetFixtures::readEngine);
  private final List<EngineListener> answers = new ArrayList<>();
  private final EngineAnswerWatch watch =
      new EngineAnswerWatch(
          (request, listener) -> {
            answers.add(listener);
            return () -> {};
          },
          directory,
          clock);
  private int changes;

  @BeforeEach
  void listEngine() {
    list(entry(ENGINE.value(), 1, 1), 1);
    directory.addListener(engines -> changes++);
  }

  private static Entry entry(String id, int port, long startedAt) {
    return FleetFixtures.engineEntry(id, port, 8, false, startedAt, 1);
  }

  private void list(Entry entry, long revision) {
    table.replaceFromRead(new Snapshot(Revision.of(revision), List.of(entry)));
  }

  private Option<Double> limit() {
    return directory.findEngine(ENGINE).flatMap(EngineEntry::limit).map(RequestRate::perSecond);
  }

  /** Sends a request to the engine; its answer is given to the listener that is returned. */
  private EngineListener send() {
    EngineEntry engine = directory.findEngine(ENGINE).get();
    EngineListener ignored =
        new EngineListener() {
          @Override
          public void onHead(EngineAnswer head) {}

          @Override
          public void onBytes(byte[] bytes) {}

          @Override
          public void onEnd(Option<CallFailure> failure) {}
        };
    watch.send(
        new EngineRequest(
            REQUEST,
            engine,
            "POST",
            "/",
            List.of(),
            new byte[0],
            Option.none(),
            Option.none(),
            Deadline.after(clock, Duration.ofSeconds(5))),
        ignored);
    return answers.get(answers.size() - 1);
  }

  private static EngineAnswer answer(EngineAnswer.Verdict verdict, StatedLimit limit) {
    return new EngineAnswer(200, List.of(), verdict, false, false, limit);
  }

  private void answerNow(StatedLimit limit) {
    send().onHead(answer(EngineAnswer.Verdict.RUN, limit));
  }

  @Test
  void limitHoldsUntilALaterAnswerNamesNone() {
    answerNow(THREE);
    assertThat(limit()).contains(3.0);
    answerNow(StatedLimit.NONE);
    assertThat(limit()).isEmpty();
  }

  @Test
  void answerToAnOlderRequestThatArrivesLateDoesNotEndTheLimit() {
    EngineListener older = send();
    answerNow(THREE);
    older.onHead(answer(EngineAnswer.Verdict.RUN, StatedLimit.NONE));
    assertThat(limit()).contains(3.0);
  }

  @Test
  void answerToAnOlderRequestThatArrivesLateDoesNotBringALimitBack() {
    answerNow(THREE);
    EngineListener older = send();
    answerNow(StatedLimit.NONE);
    older.onHead(answer(EngineAnswer.Verdict.RUN, THREE));
    assertThat(limit()).isEmpty();
  }

  @Test
  void requestSentAfterAReportCountsAsLaterAlthoughTheOtherClockIsAhead() {
    long ahead = clock.instant().plus(Duration.ofMinutes(5)).toEpochMilli();
    LimitReading reading = new LimitReading(ahead, RequestRate.of(3));
    directory.learnLimits(
        List.of(new LimitChange(new EngineBoot(ENGINE, 1), reading, 0)), OTHER_HOST);
    assertThat(limit()).contains(3.0);
    answerNow(StatedLimit.NONE);
    assertThat(limit()).isEmpty();
  }

  @Test
  void limitThatCannotBeReadChangesNothing() {
    answerNow(THREE);
    answerNow(new StatedLimit.Unreadable("x"));
    assertThat(limit()).contains(3.0);
  }

  @Test
  void refusalNamesALimitToo() {
    send().onHead(answer(EngineAnswer.Verdict.FULL, THREE));
    assertThat(limit()).contains(3.0);
  }

  @Test
  void answerToAnotherRequestSaysNothing() {
    send().onHead(answer(EngineAnswer.Verdict.MISMATCHED, THREE));
    assertThat(limit()).isEmpty();
    answerNow(THREE);
    send().onHead(answer(EngineAnswer.Verdict.MISMATCHED, StatedLimit.NONE));
    assertThat(limit()).contains(3.0);
  }

  @Test
  void answerOfAnotherEngineAtTheAddressSaysNothingOfTheOneThatWasAsked() {
    answerNow(THREE);
    send().onHead(answer(EngineAnswer.Verdict.OTHER_ENGINE, StatedLimit.NONE));
    assertThat(limit()).contains(3.0);
  }

  @Test
  void answerOfAnotherEngineAtTheAddressIsThatOfTheOneListedThere() {
    EngineListener asked = send();
    table.replaceFromRead(
        new Snapshot(Revision.of(2), List.of(entry(ENGINE.value(), 1, 1), entry("next", 1, 2))));
    asked.onHead(answer(EngineAnswer.Verdict.OTHER_ENGINE, THREE));
    assertThat(limit()).isEmpty();
    assertThat(directory.findEngine(UpstreamId.of("next")).flatMap(EngineEntry::limit))
        .isNotEmpty();
  }

  @Test
  void entryThatIsReadAgainKeepsTheLimitAndTheNextBootHasNone() {
    answerNow(THREE);
    list(entry("other", 2, 1), 2);
    list(entry(ENGINE.value(), 1, 1), 3);
    assertThat(limit()).contains(3.0);
    list(entry(ENGINE.value(), 1, 2), 4);
    assertThat(limit()).isEmpty();
  }

  @Test
  void repeatedLimitIsNoChange() {
    answerNow(THREE);
    int before = changes;
    answerNow(THREE);
    assertThat(changes).isEqualTo(before);
    assertThat(directory.limitChangesAfter(0, 10)).hasSize(1);
  }

  @Test
  void engineThatNeverNamesALimitLeavesNothingToTell() {
    answerNow(StatedLimit.NONE);
    assertThat(directory.limitChangesAfter(0, 10)).isEmpty();
  }

  @Test
  void changesAreToldInOrderAndInParts() {
    answerNow(THREE);
    list(entry("other", new InetSocketAddress(2).getPort(), 1), 2);
    LimitReading reading = new LimitReading(1, RequestRate.of(1));
    directory.learnLimits(
        List.of(new LimitChange(new EngineBoot(UpstreamId.of("other"), 1), reading, 0)),
        OTHER_HOST);
    List<LimitChange> first = directory.limitChangesAfter(0, 1);
    assertThat(first).extracting(c -> c.boot().id()).containsExactly(ENGINE);
    assertThat(directory.limitChangesAfter(first.get(0).version(), 1))
        .extracting(c -> c.boot().id())
        .containsExactly(UpstreamId.of("other"));
  }

  @Test
  void limitsOfUnlistedEnginesAreBounded() {
    EngineStatements statements = new EngineStatements();
    Map<UpstreamId, EngineEntry> entries = Map.of();
    IntStream.range(0, 3 * EngineStatements.MAX_UNLISTED)
        .forEach(
            i ->
                statements.addLimit(
                    new EngineBoot(UpstreamId.of("gone-" + i), i),
                    new LimitReading(i + 1, RequestRate.of(1)),
                    entries));
    assertThat(statements.size()).isEqualTo(EngineStatements.MAX_UNLISTED);
  }
}
