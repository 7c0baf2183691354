package org.waxwingcourse.standin.platform;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.web.DelayedValue;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.hosts.HostList;
import org.waxwingcourse.store.hosts.ListedHost;
import org.waxwingcourse.store.hosts.ListedHostCodec;

/**
 * Lists the registered hosts with a fixed lag: new hosts appear late, and removed or leaving hosts
 * are still listed as live for the duration of the lag.
 */
final class DelayedHostList {
  private final MemoryStore store;
  private final DelayedValue<List<ListedHost>> list;

  DelayedHostList(MemoryStore store, InstantSource clock, Duration lag) {
    this.store = store;
    this.list = new DelayedValue<>(clock, lag, List.of());
  }

  /** Reads the current registrations from the store. */
  void update() {
    list.update(
        store.peek(KeyRange.ofPrefix(HostList.KEY_PREFIX)).entries().stream()
            .flatMap(entry -> ListedHostCodec.read(entry.value()).toJavaStream())
            .toList());
  }

  List<ListedHost> hosts() {
    return list.get();
  }
}
