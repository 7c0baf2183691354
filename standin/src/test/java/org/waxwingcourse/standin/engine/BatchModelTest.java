package org.waxwingcourse.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BatchModelTest {
  private static final EngineOptions OPTIONS =
      EngineOptions.of("m")
          .withSteps(Duration.ofMillis(10), Duration.ofMillis(1), Duration.ofMillis(2));

  private final List<CacheEvent> events = new ArrayList<>();
  private final PrefixCache cache = new PrefixCache(4 * Prompt.BLOCK_TOKENS, events::add);
  private final BatchModel batch = new BatchModel(OPTIONS, cache);

  @Test
  void stepDurationGrowsWithTheBatchAndWithUncachedPromptTokens() {
    Prompt prompt = promptOf("a", 20);
    batch.admit(sequence("1", prompt, 9));
    assertThat(batch.nextStepDuration()).isEqualTo(Duration.ofMillis(10 + 1 + 2 * 20));
    batch.runStep();
    assertThat(batch.nextStepDuration()).isEqualTo(Duration.ofMillis(10 + 1));
    batch.admit(sequence("2", prompt, 9));
    assertThat(batch.nextStepDuration())
        .as("the full block of 16 tokens is cached")
        .isEqualTo(Duration.ofMillis(10 + 2 + 2 * 4));
  }

  @Test
  void cancelledAndFinishedSequencesAreRemovedFromTheBatch() {
    Sequence cancelled = sequence("1", promptOf("a", 1), 9);
    batch.admit(cancelled);
    batch.admit(sequence("2", promptOf("b", 1), 2));
    assertThat(batch.cancel(cancelled)).isTrue();
    assertThat(batch.nextStepDuration()).isEqualTo(Duration.ofMillis(10 + 1 + 2));
    batch.runStep();
    batch.runStep();
    assertThat(batch.size()).isZero();
  }

  @Test
  void cacheStaysWithinItsCapacityAndReportsEvictions() {
    for (int i = 0; i < 10; i++) {
      cache.store(promptOf("p" + i, 2 * Prompt.BLOCK_TOKENS));
      assertThat(cache.sizeTokens()).isLessThanOrEqualTo(4 * Prompt.BLOCK_TOKENS);
    }
    assertThat(events.stream().filter(e -> e.kind().equals(CacheEvent.STORED))).hasSize(20);
    assertThat(events.stream().filter(e -> e.kind().equals(CacheEvent.REMOVED))).hasSize(16);
    assertThat(cache.cachedTokens(promptOf("p9", 32))).isEqualTo(32);
    assertThat(cache.cachedTokens(promptOf("p0", 32))).isZero();
  }

  private static Prompt promptOf(String word, int tokens) {
    return Prompt.of(
        IntStream.range(0, tokens).mapToObj(i -> word + i).collect(Collectors.joining(" ")));
  }

  private static Sequence sequence(String id, Prompt prompt, int maxTokens) {
    TokenSink sink =
        new TokenSink() {
          @Override
          public void onToken(int index, String text) {}

          @Override
          public void onFinished(Sequence sequence) {}

          @Override
          public void onDropped() {}
        };
    return new Sequence(id, prompt, maxTokens, sink);
  }
}
