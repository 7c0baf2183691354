package org.waxwingcourse.fleet.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;

/** Tests when a service is known to have had one software for as long as a stream can last. */
class SoftwareHistoryTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final Duration LONG = StreamOrigins.RETENTION.plusSeconds(1);

  private final SoftwareHistory history = new SoftwareHistory();
  private Instant now = Instant.ofEpochSecond(1000);

  private static EngineEntry engine(String id, long boot, Option<String> version) {
    return new EngineEntry(
            UpstreamId.of(id),
            SERVICE,
            new InetSocketAddress("127.0.0.1", 1),
            FleetFixtures.DATA_CENTRE,
            8,
            false,
            boot)
        .withVersion(version);
  }

  private static EngineEntry engine(String id, String version) {
    return engine(id, 1, Option.some(version));
  }

  private void list(EngineEntry... engines) {
    history.update(List.of(engines), now);
  }

  @Test
  void hostThatHasJustStartedKnowsNothing() {
    list(engine("e1", "v1"));
    assertThat(history.only(SERVICE, now)).isEmpty();
    now = now.plus(LONG);
    assertThat(history.only(SERVICE, now)).contains(engine("e2", "v1").software());
  }

  @Test
  void versionThatIsGoneCountsAsLongAsItsStreams() {
    list(engine("e1", "v1"), engine("e2", "v2"));
    now = now.plus(LONG);
    assertThat(history.only(SERVICE, now)).isEmpty();
    list(engine("e1", "v1"));
    now = now.plus(StreamOrigins.RETENTION.dividedBy(2));
    assertThat(history.only(SERVICE, now)).isEmpty();
    now = now.plus(LONG);
    assertThat(history.only(SERVICE, now)).contains(engine("e1", "v1").software());
  }

  @Test
  void engineWithoutAVersionIsLikeNoOther() {
    list(engine("e1", 1, Option.none()), engine("e2", 1, Option.none()));
    now = now.plus(LONG);
    assertThat(history.only(SERVICE, now)).isEmpty();
    assertThat(engine("e1", 1, Option.none()).software())
        .isEqualTo(engine("e1", 1, Option.none()).software())
        .isNotEqualTo(engine("e1", 2, Option.none()).software());
  }

  /** Another version may have come, begun streams and gone while the host was cut off. */
  @Test
  void listThatWasNotFollowedForAWhileTellsNothing() {
    list(engine("e1", "v1"));
    now = now.plus(LONG);
    history.restart(now);
    assertThat(history.only(SERVICE, now)).isEmpty();
    now = now.plus(LONG);
    assertThat(history.only(SERVICE, now)).contains(engine("e1", "v1").software());
  }

  @Test
  void listThatMayBeOutdatedTellsNothing() {
    list(engine("e1", "v1"));
    now = now.plus(LONG);
    history.setCurrent(() -> false);
    assertThat(history.only(SERVICE, now)).isEmpty();
  }
}
