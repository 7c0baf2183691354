package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

class ViewExchangeTest {
  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final StoreView newer = viewWithPlan(7);
  private final StoreView older = viewWithPlan(3);
  private final ViewExchange sender = new ViewExchange(newer, clocks);
  private final ViewExchange receiver = new ViewExchange(older, clocks);

  private StoreView viewWithPlan(long revision) {
    StoreView view = StoreView.of(document -> Either.right(FleetFixtures.jobPlan()), clocks);
    view.applyIfNewer(
        new StoreView.ConfigurationDocument(
            Revision.of(revision), "plan".getBytes(StandardCharsets.UTF_8)));
    return view;
  }

  private Pong answer(boolean asksForViews) {
    Ping.Builder ping = Ping.newBuilder();
    receiver.addTo(ping, asksForViews);
    Pong.Builder pong = Pong.newBuilder();
    sender.addTo(pong, ping.build());
    return pong.build();
  }

  @Test
  void hostThatIsNotAskedTellsOnlyWhichConfigurationItHas() {
    Pong pong = answer(false);
    assertThat(pong.getConfiguration().isEmpty()).isTrue();
    assertThat(pong.getConfigurationRevision()).isEqualTo(7);
  }

  @Test
  void oneOfSeveralHostsWithANewerConfigurationIsAsked() {
    assertThat(receiver.apply(answer(false), clock.instant())).isTrue();
    assertThat(receiver.apply(answer(false), clock.instant())).isFalse();
    clock.advance(Duration.ofMillis(301));
    assertThat(receiver.apply(answer(false), clock.instant())).as("no answer came").isTrue();
    assertThat(receiver.apply(answer(true), clock.instant())).isFalse();
    assertThat(older.planRevision()).isEqualTo(Revision.of(7));
  }

  @Test
  void evidenceOfANewerConfigurationIsNoEvidenceForAnOlderOne() {
    newer.evidence().recordOwnRead(clocks.now());
    receiver.apply(answer(false), clock.instant());
    assertThat(older.evidence().age()).isEmpty();
    receiver.apply(answer(true), clock.instant());
    assertThat(older.evidence().age()).isNotEmpty();
  }

  /** The sender was cut off, so it cannot tell departures from entries that lapsed in an outage. */
  @Test
  void entriesThatAnotherHostKeepsAreLeftOutByAHostThatHasNoticedNoOutage() {
    Entry left = new Entry("e/1", new byte[0], Revision.of(1), Revision.of(2), LeaseId.NONE);
    Entry listed = new Entry("e/2", new byte[0], Revision.of(1), Revision.of(3), LeaseId.NONE);
    newer.engineTable().replaceFromRead(new Snapshot(Revision.of(3), List.of(left, listed)));
    newer.engineTable().applyChanges(Revision.of(4), List.of(), List.of(), List.of("e/1"));
    receiver.apply(answer(true), clock.instant());
    assertThat(older.engineTable().entries()).containsExactly(listed);
    assertThat(older.engineTable().content().lapsed()).isEmpty();
  }
}
