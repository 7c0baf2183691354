package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Items are sent only on recent evidence that their job is open. */
class OpenJobCheckTest {
  private static final Duration MAX_AGE = Duration.ofMillis(1500);

  private Instant now = Instant.ofEpochSecond(1000);
  private Instant lastEvidence = now;
  private final OpenJobCheck check = new OpenJobCheck(now);
  private final List<Runnable> pending = new ArrayList<>();
  private Instant readSentAt;

  private void advance(Duration span) {
    now = now.plus(span);
  }

  private OpenJobCheck.Next request() {
    Runnable action = () -> {};
    OpenJobCheck.Next next = check.onAction(action, now);
    if (next != OpenJobCheck.Next.RUN) {
      pending.add(action);
    }
    if (next == OpenJobCheck.Next.READ) {
      readSentAt = now;
    }
    return next;
  }

  private void answerRead() {
    assertThat(check.onRead(readSentAt)).isEqualTo(pending);
    pending.clear();
    lastEvidence = readSentAt;
    readSentAt = null;
  }

  @Test
  void actionRunsAtOnceWhileTheEvidenceIsRecent() {
    advance(MAX_AGE.minusMillis(1));
    assertThat(request()).isEqualTo(OpenJobCheck.Next.RUN);
  }

  @Test
  void evidenceIsAsOldAsTheCallThatBroughtIt() {
    advance(MAX_AGE);
    assertThat(request()).isEqualTo(OpenJobCheck.Next.READ);
    advance(Duration.ofSeconds(1));
    answerRead();
    advance(Duration.ofMillis(499));
    assertThat(request()).isEqualTo(OpenJobCheck.Next.RUN);
    advance(Duration.ofMillis(1));
    assertThat(request()).isEqualTo(OpenJobCheck.Next.READ);
  }

  @Test
  void noActionRunsAtOnceOnOldEvidenceInAnyOrderOfSteps() {
    Random random = new Random(1);
    for (int step = 0; step < 20_000; step++) {
      switch (random.nextInt(4)) {
        case 0 -> advance(Duration.ofMillis(random.nextInt(1000)));
        case 1 -> {
          Instant openAt = now.minusMillis(random.nextInt(2000));
          check.confirmOpen(openAt);
          lastEvidence = openAt.isAfter(lastEvidence) ? openAt : lastEvidence;
        }
        case 2 -> {
          if (readSentAt != null) {
            Instant sentAt = readSentAt;
            Instant earlier = lastEvidence;
            answerRead();
            lastEvidence = sentAt.isAfter(earlier) ? sentAt : earlier;
          }
        }
        default -> {
          boolean isRecent = now.isBefore(lastEvidence.plus(MAX_AGE));
          boolean isReading = readSentAt != null;
          OpenJobCheck.Next stale = isReading ? OpenJobCheck.Next.WAIT : OpenJobCheck.Next.READ;
          assertThat(request()).isEqualTo(isRecent ? OpenJobCheck.Next.RUN : stale);
        }
      }
    }
  }
}
