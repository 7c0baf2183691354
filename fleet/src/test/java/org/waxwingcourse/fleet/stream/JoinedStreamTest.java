package org.waxwingcourse.fleet.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;
import org.waxwingcourse.fleet.engine.ServerSentEventParser.ServerSentEvent;
import org.waxwingcourse.fleet.engine.SoftwareId;

/** A stream is joined from runs in sequence, whatever the runs send and in whichever order. */
class JoinedStreamTest {
  private static final SoftwareId SOFTWARE = new SoftwareId(1);
  private static final SoftwareId OTHER = new SoftwareId(2);
  private static final int STEPS = 400;
  private static final int SEEDS = 500;

  private static ServerSentEvent event(long id) {
    return new ServerSentEvent(id, "w", new byte[0]);
  }

  /** A run and the events that were appended from it. */
  private record Sender(StreamRun run, List<Long> appended) {}

  @Test
  void eventsFollowEachOtherAndEachRunGoesOnWhereItWasAskedTo() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      Option<Long> position = Option.some((long) random.nextInt(5)).filter(n -> n > 0);
      JoinedStream stream = JoinedStream.after(position, Option.none());
      long start = position.getOrElse(0L);
      List<Sender> senders = new ArrayList<>();
      List<Long> text = new ArrayList<>();
      for (int step = 0; step < STEPS; step++) {
        if (senders.isEmpty() || random.nextInt(8) == 0) {
          SoftwareId software = random.nextInt(4) == 0 ? OTHER : SOFTWARE;
          senders.add(new Sender(stream.beginRun(software), new ArrayList<>()));
        }
        int newest = senders.size() - 1;
        Sender sender = senders.get(random.nextInt(3) == 0 ? random.nextInt(newest + 1) : newest);
        long id = stream.lastEventId().map(n -> n + random.nextInt(4) - 1).getOrElse(1L);
        if (sender.run.append(event(id)).isEmpty()) {
          text.add(id);
          sender.appended.add(id);
        }
      }
      assertThat(text)
          .as("seed " + seed)
          .containsExactlyElementsOf(
              LongStream.rangeClosed(start + 1, start + text.size()).boxed().toList());
      for (Sender sender : senders) {
        if (!sender.appended.isEmpty()) {
          assertThat(sender.appended.get(0))
              .as("seed " + seed)
              .isEqualTo(sender.run.askedAfter().getOrElse(0L) + 1);
        }
      }
      assertThat(senders.stream().filter(s -> !s.appended.isEmpty()).map(s -> s.run.software()))
          .as("seed " + seed)
          .allMatch(s -> s.equals(stream.software().get()));
    }
  }

  @Test
  void firstEventMayHaveAnyId() {
    JoinedStream stream = JoinedStream.empty();
    StreamRun run = stream.beginRun(SOFTWARE);
    assertThat(run.append(event(0))).isEmpty();
    assertThat(run.append(event(1))).isEmpty();
    assertThat(run).hasToString("none>0-1");
  }

  @Test
  void replacedRunAppendsNothing() {
    JoinedStream stream = JoinedStream.empty();
    StreamRun first = stream.beginRun(SOFTWARE);
    stream.beginRun(SOFTWARE);
    assertThat(first.append(event(1))).contains(OutOfPlace.REPLACED_RUN);
    assertThat(first.hasAppended()).isFalse();
  }

  @Test
  void runFromBeforeTheStreamBeganAnewAppendsNothing() {
    JoinedStream stream = JoinedStream.empty();
    StreamRun first = stream.beginRun(SOFTWARE);
    first.append(event(1));
    stream.clear();
    assertThat(first.append(event(2))).contains(OutOfPlace.REPLACED_RUN);
    assertThat(stream.beginRun(OTHER).append(event(1))).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 4, 9})
  void eventThatIsNotTheNextIsOutOfPlace(long id) {
    StreamRun run = JoinedStream.after(Option.some(2L), Option.none()).beginRun(SOFTWARE);
    assertThat(run.append(event(id))).contains(OutOfPlace.NOT_NEXT);
    assertThat(run.append(event(3))).isEmpty();
  }

  @Test
  void nothingGoesOnAfterAnEventWithoutId() {
    JoinedStream stream = JoinedStream.empty();
    stream.beginRun(SOFTWARE).append(event(ServerSentEventParser.NO_ID));
    assertThat(stream.canGoOn()).isFalse();
    stream.clear();
    assertThat(stream.canGoOn()).isTrue();
  }
}
