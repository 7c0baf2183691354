package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.ManualTimer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Transaction;

/** What fails on one entry, or on one answer of the store, ended the watch of all for good. */
class FailingEntryReaderTest {
  private static final String BAD = "e/bad";

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Clocks clocks = new Clocks(clock, clock);
  private final ManualTimer timer = new ManualTimer(clock);
  private final MemoryStore store = MemoryStore.of(clock);
  private Supplier<Throwable> failure = IllegalArgumentException::new;
  private final StoreView storeView =
      StoreView.of(document -> Either.left("none"), clocks, this::read);
  private final EngineDirectory engines = new EngineDirectory(storeView.engineTable(), this::read);
  private final List<Snapshot> orders = new ArrayList<>();

  private Option<EngineEntry> read(Entry entry) {
    if (entry.key().equals(BAD)) {
      throwUnchecked(failure.get());
    }
    return Option.some(
        new EngineEntry(
            UpstreamId.of(entry.key()),
            ServiceName.of("s"),
            new InetSocketAddress("127.0.0.1", 1),
            DataCentreId.of("a"),
            8,
            false,
            0));
  }

  @SuppressWarnings("unchecked")
  private static <E extends Throwable> void throwUnchecked(Throwable thrown) throws E {
    throw (E) thrown;
  }

  private StoreFollower follow() {
    StoreFollower follower =
        new StoreFollower(
            store,
            storeView,
            clocks,
            timer,
            new StoreFollower.Sources(KeyRange.ofPrefix("o/"), "o/plan", KeyRange.ofPrefix("e/")),
            orders::add);
    follower.setFollowing(true);
    return follower;
  }

  private void put(String key) {
    store.write(Transaction.builder().put(key, new byte[] {1}).build());
  }

  private List<String> engineIds() {
    return engines.all().stream().map(e -> e.id().value()).sorted().toList();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void entryOnWhichItsReaderFailsHidesNoOtherEngine(boolean standsAtTheStart) {
    for (Supplier<Throwable> thrown :
        List.<Supplier<Throwable>>of(IllegalArgumentException::new, StackOverflowError::new)) {
      failure = thrown;
      put("e/1");
      if (standsAtTheStart) {
        put(BAD);
      }
      follow();
      put(BAD);
      put("e/2");
      assertThat(engineIds()).containsExactly("e/1", "e/2");
    }
  }

  @Test
  void listenerThatFailsHidesAChangeFromNoOther() {
    List<Revision> seen = new ArrayList<>();
    storeView.engineTable().addListener(FailingEntryReaderTest::fail);
    storeView.engineTable().addListener(() -> seen.add(storeView.engineTable().revision()));
    follow();
    put("e/1");
    put("e/2");
    assertThat(seen).hasSizeGreaterThanOrEqualTo(2);
    assertThat(engineIds()).containsExactly("e/1", "e/2");
  }

  private static void fail() {
    throw new IllegalStateException("listener");
  }
}
