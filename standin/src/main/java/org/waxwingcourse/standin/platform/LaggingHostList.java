package org.waxwingcourse.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.waxwingcourse.platform.hosts.HostList;
import org.waxwingcourse.platform.hosts.ListedHost;
import org.waxwingcourse.platform.hosts.ListedHostCodec;
import org.waxwingcourse.platform.store.KeyRange;
import org.waxwingcourse.standin.store.MemoryStore;

/**
 * Shows the registered hosts as they were some time ago: new hosts come late, and hosts that are
 * gone or leave are still shown as live for as long.
 */
final class LaggingHostList {
  private record Seen(Instant at, List<ListedHost> hosts) {}

  private final MemoryStore store;
  private final InstantSource clock;
  private final Duration lag;
  private final Deque<Seen> seen = new ArrayDeque<>();

  LaggingHostList(MemoryStore store, InstantSource clock, Duration lag) {
    this.store = store;
    this.clock = clock;
    this.lag = lag;
  }

  /** Notes the present registrations. */
  synchronized void tick() {
    List<ListedHost> hosts =
        store.peek(KeyRange.ofPrefix(HostList.KEY_PREFIX)).entries().stream()
            .flatMap(entry -> ListedHostCodec.read(entry.value()).toJavaStream())
            .toList();
    if (seen.isEmpty() || !seen.getLast().hosts().equals(hosts)) {
      seen.addLast(new Seen(clock.instant(), hosts));
    }
  }

  /** Returns the hosts as they were one lag ago. */
  synchronized List<ListedHost> hosts() {
    Instant shown = clock.instant().minus(lag);
    List<ListedHost> hosts = List.of();
    while (!seen.isEmpty() && !seen.getFirst().at().isAfter(shown)) {
      hosts = seen.getFirst().hosts();
      if (seen.size() == 1 || seen.stream().skip(1).findFirst().get().at().isAfter(shown)) {
        break;
      }
      seen.removeFirst();
    }
    return hosts;
  }
}
