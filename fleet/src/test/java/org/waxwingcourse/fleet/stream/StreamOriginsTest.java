package org.waxwingcourse.fleet.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.engine.SoftwareId;

/** Tests for how long and how many streams are remembered. */
class StreamOriginsTest {
  private static final SoftwareId OLD = new SoftwareId(1);
  private static final SoftwareId NEW = new SoftwareId(2);
  private static final StreamKey STREAM = StreamKey.of("parish", "r-1");

  private final StreamOrigins origins = new StreamOrigins();
  private Instant now = Instant.ofEpochSecond(1000);

  @Test
  void anotherOrganisationCannotNameTheStream() {
    origins.record(STREAM, OLD, now);
    assertThat(origins.find(StreamKey.of("other", "r-1"), now)).isEmpty();
    assertThat(origins.find(StreamKey.of("", "r-1"), now)).isEmpty();
    assertThat(origins.find(STREAM, now)).contains(OLD);
  }

  @Test
  void latestRecordHolds() {
    origins.record(STREAM, NEW, now);
    origins.record(STREAM, OLD, now);
    assertThat(origins.find(STREAM, now)).contains(OLD);
  }

  /** A coordinator that the host has left may still grant what the host asked it for. */
  @Test
  void grantThatComesTooLateDoesNotChangeWhatBeganAStream() {
    origins.recordGrant(STREAM, NEW, now);
    assertThat(origins.find(STREAM, now)).contains(NEW);
    origins.record(STREAM, OLD, now);
    origins.recordGrant(STREAM, NEW, now);
    assertThat(origins.find(STREAM, now)).contains(OLD);
  }

  @Test
  void laterGrantReplacesAnEarlierOneBeforeTheFirstEvent() {
    origins.recordGrant(STREAM, OLD, now);
    origins.recordGrant(STREAM, NEW, now);
    assertThat(origins.find(STREAM, now)).contains(NEW);
  }

  @Test
  void streamIsForgottenSomeTimeAfterItsLastSign() {
    origins.record(STREAM, OLD, now);
    now = now.plus(StreamOrigins.RETENTION.dividedBy(2));
    origins.record(STREAM, OLD, now);
    now = now.plus(StreamOrigins.RETENTION.dividedBy(2)).plusSeconds(1);
    assertThat(origins.find(STREAM, now)).contains(OLD);
    now = now.plus(StreamOrigins.RETENTION);
    assertThat(origins.find(STREAM, now)).isEmpty();
  }

  @Test
  void memoryIsBounded() {
    for (int i = 0; i < StreamOrigins.MAX_STREAMS + 1000; i++) {
      origins.record(new StreamKey(i), OLD, now);
    }
    assertThat(origins.changesAfter(0, Integer.MAX_VALUE, now)).hasSize(StreamOrigins.MAX_STREAMS);
    now = now.plus(StreamOrigins.RETENTION).plus(Duration.ofSeconds(1));
    origins.record(STREAM, OLD, now);
    assertThat(origins.changesAfter(0, Integer.MAX_VALUE, now)).hasSize(1);
  }

  @Test
  void changesComeInOrderAndOnce() {
    origins.record(new StreamKey(1), OLD, now);
    origins.record(new StreamKey(2), OLD, now);
    origins.record(new StreamKey(1), NEW, now);
    long seen = origins.changesAfter(0, 1, now).get(0).version();
    assertThat(origins.changesAfter(0, 1, now).get(0).stream()).isEqualTo(new StreamKey(2));
    assertThat(origins.changesAfter(seen, 9, now))
        .extracting(StreamOrigins.Change::stream)
        .containsExactly(new StreamKey(1));
    assertThat(origins.changesAfter(origins.version(), 9, now)).isEmpty();
  }
}
