package org.waxwingcourse.fleet.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines leave while the entries of others are still to come back after an outage. */
class DepartureAfterOutageTest {
  private static final int SEEDS = 200;
  private static final int ENGINES = 4;

  /** An engine that has left may get requests for this long. */
  private static final Duration MAX_USED = Duration.ofSeconds(2);

  /** Time for telling the other hosts, of which most do not read the store themselves. */
  private static final Duration FOR_TELLING = Duration.ofMillis(400);

  private static final Duration MAX_LISTED = MAX_USED.minus(FOR_TELLING);

  /** After this time without a disturbance the store counts as stable. */
  private static final Duration UNTIL_STABLE = Duration.ofSeconds(3);

  @Test
  void engineThatLeavesOnceTheStoreIsStableIsUnlistedInTime() {
    Duration longest = Duration.ZERO;
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      try (FollowedStore store = afterOutage(random)) {
        store.run(UNTIL_STABLE.plusMillis(random.nextInt(2500)));
        longest = max(longest, store.timeUntilUnlisted(store.leave(random.nextInt(ENGINES))));
      }
    }
    assertThat(longest).isLessThanOrEqualTo(MAX_LISTED);
  }

  @Test
  void departureDoesNotKeepEnginesThatLeftBefore() {
    try (FollowedStore store = withEngines(1)) {
      store.outage(Duration.ofSeconds(5));
      store.run(UNTIL_STABLE);
      String first = store.leave(0);
      for (int i = 1; i < ENGINES; i++) {
        store.run(Duration.ofMillis(400));
        store.leave(i);
      }
      assertThat(store.timeUntilUnlisted(first)).isLessThanOrEqualTo(MAX_LISTED);
    }
  }

  @Test
  void enginesWhoseEntriesLapsedInTheOutageStayListed() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      try (FollowedStore store = afterOutage(random)) {
        store.run(Duration.ofSeconds(6));
        assertThat(store.smallestList()).as("seed " + seed).isEqualTo(ENGINES);
      }
    }
  }

  @Test
  void engineThatDiedInTheOutageIsUnlistedInTime() {
    try (FollowedStore store = withEngines(2)) {
      String dead = store.die(ENGINES - 1);
      store.outage(Duration.ofSeconds(5));
      assertThat(store.timeUntilUnlisted(dead)).isLessThanOrEqualTo(UNTIL_STABLE.plus(MAX_LISTED));
    }
  }

  /** Hosts are sent the table again only if its revision is later than that of what they have. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4})
  void otherHostsLearnThatAnEntryDoesNotComeBack(int seed) {
    try (FollowedStore store = withEngines(seed)) {
      String dead = store.die(ENGINES - 1);
      store.outage(Duration.ofSeconds(5));
      store.run(Duration.ofSeconds(10));
      assertThat(store.isListed(dead)).isFalse();
      assertThat(store.isListedAtOtherHost(dead)).isFalse();
    }
  }

  /** A host that was told of the store by others meanwhile has not seen the end of the outage. */
  @Test
  void outageOfLongAgoKeepsNoEntries() {
    try (FollowedStore store = withEngines(3)) {
      store.outage(Duration.ofSeconds(3));
      store.setFollowing(false);
      store.run(Duration.ofSeconds(60));
      String left = store.leave(0);
      store.setFollowing(true);
      assertThat(store.timeUntilUnlisted(left)).isLessThanOrEqualTo(MAX_LISTED);
    }
  }

  /** Its entry was written again, so what is gone then is not a consequence of the outage. */
  @Test
  void engineThatHasRegisteredAgainIsUnlistedAtOnceWhenItLeaves() {
    try (FollowedStore store = withEngines(4)) {
      store.outage(Duration.ofSeconds(6));
      store.run(StoreContact.REREGISTRATION_TIME.minusMillis(500));
      assertThat(store.timeUntilUnlisted(store.leave(0))).isLessThan(Duration.ofMillis(300));
    }
  }

  /** In the second outage the engines cannot write the entries that they lost in the first. */
  @Test
  void enginesStayListedWhenASecondOutageFollows() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      try (FollowedStore store = afterOutage(random)) {
        store.run(Duration.ofMillis(random.nextInt(1000)));
        store.outage(Duration.ofMillis(2000 + random.nextInt(4000)));
        store.run(Duration.ofSeconds(6));
        assertThat(store.smallestList()).as("seed " + seed).isEqualTo(ENGINES);
      }
    }
  }

  /** Returns a store with engines that have renewed their entries for a while. */
  private static FollowedStore withEngines(int seed) {
    FollowedStore store = new FollowedStore(new Random(seed));
    store.startEngines(ENGINES);
    store.run(Duration.ofSeconds(5));
    return store;
  }

  /** Returns a store after an outage, at a time and of a length that are drawn. */
  private static FollowedStore afterOutage(Random random) {
    FollowedStore store = new FollowedStore(random);
    store.startEngines(ENGINES);
    store.run(Duration.ofMillis(5000 + random.nextInt(2000)));
    store.outage(Duration.ofMillis(4500 + random.nextInt(4000)));
    return store;
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) >= 0 ? a : b;
  }
}
