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
 * Shows the registered hosts as they were some time ago: new hosts come late, and hosts that are
 * gone or leave are still shown as live for as long.
 */
final class LaggingHostList {
  private final MemoryStore store;
  private final DelayedValue<List<ListedHost>> list;

  LaggingHostList(MemoryStore store, InstantSource clock, Duration lag) {
    this.store = store;
    this.list = new DelayedValue<>(clock, lag, List.of());
  }

  /** Notes the present registrations. */
  void tick() {
    list.update(
        store.peek(KeyRange.ofPrefix(HostList.KEY_PREFIX)).entries().stream()
            .flatMap(entry -> ListedHostCodec.read(entry.value()).toJavaStream())
            .toList());
  }

  List<ListedHost> hosts() {
    return list.get();
  }
}
