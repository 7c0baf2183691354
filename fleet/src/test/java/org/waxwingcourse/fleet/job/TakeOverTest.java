package org.waxwingcourse.fleet.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.JobRecord;

/**
 * Plays take-overs in every order of answers that the store's page allows: reads that fail, claims
 * that are done, lost, refused, or executed after a later one.
 */
class TakeOverTest {
  private static final RunnerName SELF = new RunnerName(HostId.of("self"), 7);
  private static final JobRecord UNCLAIMED =
      JobRecord.newBuilder().addItemTokens(10).setRunner("gone").setRunnerBoot(1).build();
  private static final JobRecord CLAIMED =
      UNCLAIMED.toBuilder().setRunner(SELF.host().value()).setRunnerBoot(SELF.boot()).build();
  private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

  /** A late write is executed no later than this after it was sent. */
  private static final Duration LATEST_WRITE = Duration.ofSeconds(6);

  /** Steps after which the store answers everything. */
  private static final int FAULTY_STEPS = 9;

  private static final int MAX_STEPS = 60;

  /** Answers to one call: done, no answer, refused, or executed late without an answer. */
  private enum Answer {
    DONE,
    LOST,
    REFUSED,
    LATE
  }

  /** The store and the take-over of one play. */
  private static final class Play {
    private final TakeOver takeOver = new TakeOver(SELF);
    private final List<Instant> lateClaims = new ArrayList<>();
    private Instant now = Instant.ofEpochSecond(1000);
    private JobRecord record = UNCLAIMED;
    private TakeOver.Next next = TakeOver.Next.READ;
    private boolean runs;

    boolean isOver() {
      return next == TakeOver.Next.END || runs;
    }

    void step(Answer answer) {
      switch (next) {
        case READ, READ_LATER -> {
          if (next == TakeOver.Next.READ_LATER) {
            now = now.plus(READ_INTERVAL);
          }
          executeLateClaims(false);
          next = takeOver.onRecord(read(answer), now);
        }
        case CLAIM -> next = takeOver.onClaimed(claim(answer), now);
        case RESUME -> {
          boolean isReadable = answer == Answer.DONE;
          next = takeOver.onContent(isReadable);
          runs = isReadable;
        }
        default -> throw new AssertionError("unexpected " + next);
      }
    }

    private static Either<StoreFailure, Option<JobStore.StoredRecord>> failure() {
      return Either.left(new StoreFailure(StoreFailure.Kind.UNREACHABLE, "no answer"));
    }

    private Either<StoreFailure, Option<JobStore.StoredRecord>> read(Answer answer) {
      return answer == Answer.DONE
          ? Either.right(Option.some(new JobStore.StoredRecord(record, Revision.of(1))))
          : failure();
    }

    private WriteOutcome claim(Answer answer) {
      if (record.equals(CLAIMED)) {
        return new WriteOutcome.Lost(Revision.of(2), List.of());
      }
      switch (answer) {
        case REFUSED -> {
          return new WriteOutcome.NotSent(failure().getLeft());
        }
        case LATE -> lateClaims.add(now.plus(LATEST_WRITE));
        default -> record = CLAIMED;
      }
      return answer == Answer.DONE
          ? new WriteOutcome.Done(Revision.of(2))
          : new WriteOutcome.Unknown("no answer");
    }

    void executeLateClaims(boolean all) {
      if (lateClaims.removeIf(at -> all || !at.isAfter(now))) {
        record = CLAIMED;
      }
    }
  }

  private long plays;

  /** A job whose record names this host after its take-over has ended would be run by nobody. */
  @Test
  void takeOverEndsOnlyWhereTheJobRunsOrIsNotThisHosts() {
    play(new ArrayList<>());
    System.out.printf("%d orders of answers to a take-over%n", plays);
    assertThat(plays).isGreaterThan(1000);
  }

  private void play(List<Answer> answers) {
    Play play = new Play();
    play.takeOver.assign();
    for (Answer answer : answers) {
      play.step(answer);
    }
    if (!play.isOver() && answers.size() < FAULTY_STEPS) {
      for (Answer answer : possibleAnswers(play.next)) {
        answers.add(answer);
        play(answers);
        answers.remove(answers.size() - 1);
      }
      return;
    }
    plays++;
    for (int i = 0; i < MAX_STEPS && !play.isOver(); i++) {
      play.step(Answer.DONE);
    }
    play.executeLateClaims(true);
    assertThat(play.isOver()).as("ends after %s", answers).isTrue();
    assertThat(play.runs || !play.record.equals(CLAIMED))
        .as("runs where its record names this host, after %s", answers)
        .isTrue();
  }

  private static List<Answer> possibleAnswers(TakeOver.Next next) {
    return next == TakeOver.Next.CLAIM
        ? List.of(Answer.values())
        : List.of(Answer.DONE, Answer.LOST);
  }
}
