package org.waxwingcourse.node.member;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.hosts.ListedLeaving;
import org.waxwingcourse.policy.member.Seed;
import org.waxwingcourse.policy.member.Swim;
import org.waxwingcourse.store.hosts.HostList;
import org.waxwingcourse.store.hosts.ListedHost;

/** Reads the platform's list now and then: often while no other host is known, then seldom. */
final class ListedHosts {
  private static final Duration ALONE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration INTERVAL = Duration.ofSeconds(15);

  private final HostList list;
  private final Swim swim;
  private final ListedLeaving leaving;
  private final InstantSource clock;
  private final RandomGenerator random;
  private Deadline nextRead;

  ListedHosts(
      HostList list,
      Swim swim,
      ListedLeaving leaving,
      InstantSource clock,
      RandomGenerator random) {
    this.list = list;
    this.swim = swim;
    this.leaving = leaving;
    this.clock = clock;
    this.random = random;
    this.nextRead = Deadline.at(clock.instant());
  }

  synchronized void tick() {
    if (!nextRead.isPast(clock.instant())) {
      return;
    }
    Duration base = swim.members().size() > 1 ? INTERVAL : ALONE_INTERVAL;
    long millis = base.toMillis() / 2 + random.nextLong(base.toMillis());
    nextRead = Deadline.after(clock, Duration.ofMillis(millis));
    list.hosts().thenAccept(read -> read.forEach(this::apply));
  }

  private void apply(List<ListedHost> hosts) {
    swim.seed(hosts.stream().map(h -> new Seed(h.id(), h.peerAddress())).toList());
    leaving.update(leavingHosts(hosts));
  }

  private static List<HostId> leavingHosts(List<ListedHost> hosts) {
    return hosts.stream()
        .filter(h -> h.state() == ListedHost.State.LEAVING)
        .map(ListedHost::id)
        .toList();
  }
}
