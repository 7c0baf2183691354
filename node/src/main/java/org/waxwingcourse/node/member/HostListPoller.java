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

/** Reads the platform's host list periodically, more often while no other host is known. */
final class HostListPoller {
  private static final Duration ISOLATED_INTERVAL = Duration.ofSeconds(1);
  private static final Duration INTERVAL = Duration.ofSeconds(15);

  private final HostList hostList;
  private final Swim swim;
  private final ListedLeaving listedLeaving;
  private final InstantSource clock;
  private final RandomGenerator random;
  private Deadline nextRead;

  HostListPoller(
      HostList hostList,
      Swim swim,
      ListedLeaving listedLeaving,
      InstantSource clock,
      RandomGenerator random) {
    this.hostList = hostList;
    this.swim = swim;
    this.listedLeaving = listedLeaving;
    this.clock = clock;
    this.random = random;
    this.nextRead = Deadline.at(clock.instant());
  }

  synchronized void tick() {
    if (!nextRead.isPast(clock.instant())) {
      return;
    }
    Duration base = swim.members().size() > 1 ? INTERVAL : ISOLATED_INTERVAL;
    long millis = base.toMillis() / 2 + random.nextLong(base.toMillis());
    nextRead = Deadline.after(clock, Duration.ofMillis(millis));
    hostList.hosts().thenAccept(read -> read.forEach(this::apply));
  }

  private void apply(List<ListedHost> hosts) {
    swim.seed(hosts.stream().map(h -> new Seed(h.id(), h.peerAddress())).toList());
    listedLeaving.update(leavingHosts(hosts));
  }

  private static List<HostId> leavingHosts(List<ListedHost> hosts) {
    return hosts.stream()
        .filter(h -> h.state() == ListedHost.State.LEAVING)
        .map(ListedHost::id)
        .toList();
  }
}
