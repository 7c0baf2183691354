package org.waxwingcourse.fleet.coordinate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Set;
import org.waxwingcourse.model.id.HostId;

/**
 * The hosts that have attached to a coordinator that has just started itself.
 *
 * <p>Load pattern: all hosts lose power and start again, the slow ones seconds after the fast ones.
 * The store lists the ended processes until their leases expire; callers that are sent to them meet
 * a closed port. Until then only hosts that have attached are named to callers. A coordinator that
 * did not start recently tells of no hosts, and all listed hosts are named.
 *
 * <p>Safe for use by several threads.
 */
final class CollectedHosts {
  /** Entries of processes that ended before the coordinator's start have expired after this. */
  static final Duration COLLECTION_TIME = Duration.ofMillis(4000);

  /** A coordinator tells of its hosts again within this time. */
  private static final Duration VALIDITY = Duration.ofMillis(2500);

  private Set<HostId> attached = Set.of();
  private Instant validUntil = Instant.MIN;

  /** Records the hosts that the coordinator tells of; none if it did not start recently. */
  synchronized void record(Collection<HostId> hosts, Instant now) {
    attached = Set.copyOf(hosts);
    validUntil = hosts.isEmpty() ? Instant.MIN : now.plus(VALIDITY);
  }

  /** Returns whether callers may be sent to a host that the store lists. */
  synchronized boolean mayBeNamed(HostId host, Instant now) {
    return !now.isBefore(validUntil) || attached.contains(host);
  }
}
