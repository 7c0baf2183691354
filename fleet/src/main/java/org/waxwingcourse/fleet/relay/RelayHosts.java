package org.waxwingcourse.fleet.relay;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.HostId;

/**
 * The hosts that send requests to engines for this host, as its coordinator names them.
 *
 * <p>Safe for use by several threads.
 */
public final class RelayHosts {
  /** A host that was lost during a relayed request gets no other one for this time. */
  private static final Duration FAILURE_PAUSE = Duration.ofSeconds(1);

  /** An older list is not that of the present cut; several pings. */
  private static final Duration LIST_LIFETIME = Duration.ofMillis(500);

  private final InstantSource clock;
  private final RandomGenerator random;
  private final Map<HostId, Instant> failedAt = new HashMap<>();
  private List<HostId> hosts = List.of();
  private Instant updatedAt = Instant.MIN;

  /** Creates a list without hosts. */
  public RelayHosts(InstantSource clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
  }

  /** Replaces the hosts. */
  public synchronized void update(Collection<HostId> named) {
    hosts = List.copyOf(named);
    updatedAt = clock.instant();
    failedAt.keySet().retainAll(hosts);
  }

  /** Forgets the hosts: those that a later cut leaves in reach may be others. */
  public synchronized void clear() {
    hosts = List.of();
    updatedAt = Instant.MIN;
    failedAt.clear();
  }

  /** Returns whether the coordinator knows of no host that reaches engines. */
  synchronized boolean isNoneNamed() {
    return hosts.isEmpty() && clock.instant().isBefore(updatedAt.plus(LIST_LIFETIME));
  }

  /** Returns a host that was not tried and has not been lost lately, none if there is none. */
  synchronized Option<HostId> choose(Set<HostId> tried) {
    Instant now = clock.instant();
    failedAt.values().removeIf(at -> !now.isBefore(at.plus(FAILURE_PAUSE)));
    List<HostId> usable =
        hosts.stream().filter(h -> !tried.contains(h) && !failedAt.containsKey(h)).toList();
    return usable.isEmpty()
        ? Option.none()
        : Option.some(usable.get(random.nextInt(usable.size())));
  }

  /** Records that a host was lost during a relayed request. */
  synchronized void recordFailure(HostId host) {
    failedAt.put(host, clock.instant());
  }
}
