package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.wire.fleet.JobResult;

/**
 * Results whose commit was larger than the largest value of the store were never listed, nor any
 * that came after them.
 */
class LargeResultsTest {
  private static final int ITEMS = 24;

  /** Less than the longest event, in any script. */
  private static final int EVENT_CHARS = 15_000;

  /** So many that half of the items exceed the largest value, in any script. */
  private static final int EVENTS = 8;

  /** Longer than the store refuses all writes, and than all commits after that. */
  private static final Duration RECOVERY = Duration.ofSeconds(60);

  private final RunnerFixture fixture = new RunnerFixture();

  @AfterEach
  void stop() {
    fixture.stop();
  }

  private void runItems() {
    fixture.runJob(ITEMS);
    fixture.grantAll();
  }

  private static String[] events(String character, int count) {
    String event = character.repeat(EVENT_CHARS);
    return Collections.nCopies(count, event).toArray(String[]::new);
  }

  private static String[] allItems() {
    return IntStream.range(0, ITEMS).mapToObj(i -> "item-" + i).toArray(String[]::new);
  }

  @ParameterizedTest
  @ValueSource(strings = {"a", "\u00e9", "\u3042", "\ud83d\ude00", "\"", "\u0001"})
  void resultsOfAnyScriptThatWaitForTheStoreAreListedOnceItIsBack(String character) {
    runItems();
    fixture.store.failWrites(
        Collections.nCopies(10, FaultyStore.WriteFault.REFUSED)
            .toArray(FaultyStore.WriteFault[]::new));
    String[] events = events(character, EVENTS);
    for (int i = 0; i < ITEMS; i++) {
      fixture.finish(i, events);
    }
    fixture.timer.advance(RECOVERY);
    assertThat(fixture.stored())
        .extracting(JobResult::getItem)
        .containsExactlyInAnyOrder(allItems());
    assertThat(fixture.stored()).allMatch(r -> r.getText().equals(String.join("\n", events)));
  }

  @Test
  void resultThatFitsIntoNoValueIsListedAsFailedAndHoldsUpNoOther() {
    runItems();
    fixture.finish(0, events("\u3042", 3 * EVENTS));
    for (int i = 1; i < ITEMS; i++) {
      fixture.finish(i, "text");
    }
    fixture.timer.advance(RECOVERY);
    assertThat(fixture.stored())
        .extracting(JobResult::getItem)
        .containsExactlyInAnyOrder(allItems());
    assertThat(fixture.stored()).filteredOn(r -> !r.getCompleted()).hasSize(1);
  }

  /** An engine that sent events without end filled the memory of its host. */
  @Test
  void itemWhoseOutputGrowsBeyondAnyValueIsEndedBeforeTheOutputEnds() {
    AtomicInteger cancelled = new AtomicInteger();
    fixture.onRequest = (request, listener) -> cancelled::incrementAndGet;
    runItems();
    EngineListener run = fixture.runs.get("item-0");
    run.onHead(new EngineAnswer(200, List.of(), EngineAnswer.Verdict.RUN, false, false));
    byte[] event = ("data: " + "a".repeat(EVENT_CHARS) + "\n\n").getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i <= Store.DEFAULT_MAX_VALUE_BYTES / EVENT_CHARS; i++) {
      run.onBytes(event);
    }
    assertThat(cancelled).hasValue(1);
    fixture.timer.advance(RECOVERY);
    assertThat(fixture.stored()).extracting(JobResult::getItem).containsExactly("item-0");
    assertThat(fixture.stored().get(0).getCompleted()).isFalse();
  }

  /** The store need not tell why it rejects a write, nor is it known for which of its results. */
  @Test
  void resultThatTheStoreRejectsHoldsUpNoOther() {
    runItems();
    fixture.store.rejectWrites(LargeResultsTest::holdsRejectedText);
    for (int i = 0; i < ITEMS; i++) {
      fixture.finish(i, i == 5 ? "rejected" : "text");
    }
    fixture.timer.advance(RECOVERY);
    assertThat(fixture.stored()).hasSize(ITEMS - 1);
    fixture.store.rejectWrites(t -> false);
    fixture.timer.advance(RECOVERY);
    assertThat(fixture.stored())
        .extracting(JobResult::getItem)
        .containsExactlyInAnyOrder(allItems());
  }

  private static boolean holdsRejectedText(Transaction transaction) {
    return transaction.changes().stream()
        .filter(Transaction.Put.class::isInstance)
        .map(c -> new String(((Transaction.Put) c).value(), StandardCharsets.UTF_8))
        .anyMatch(v -> v.contains("rejected"));
  }
}
