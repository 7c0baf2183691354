package org.waxwingcourse.fleet.coordinate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Set;
import org.waxwingcourse.model.id.HostId;

/**
 * The hosts that callers may be sent to.
 *
 * <p>Load pattern: all hosts lose power and start again, the slow ones seconds after the fast ones.
 * The store lists the ended processes until their leases expire; callers that are sent to them meet
 * a closed port. Until then only hosts that have attached are named to callers. A coordinator that
 * did not start recently tells of no hosts, and all listed hosts are named.
 *
 * <p>The list of hosts may be out of date for two other reasons. While the store is out of reach or
 * recovers, entries of lost hosts stay; the coordinator then tells of the hosts attached to it. A
 * host that hears of nobody who reads the store names itself only: of the others it does not know
 * whether they still run.
 *
 * <p>Safe for use by several threads.
 */
final class CollectedHosts {
  /** Entries of processes that ended before the coordinator's start have expired after this. */
  static final Duration COLLECTION_TIME = Duration.ofMillis(4000);

  /** A coordinator tells of its hosts again within this time. */
  private static final Duration VALIDITY = Duration.ofMillis(2500);

  /**
   * A host counts as attached for callers if it has pinged within this time. A host that is lost is
   * named for at most this time and {@link #VALIDITY} after it, less than the 7 s allowed.
   */
  static final Duration MAX_PING_AGE = Duration.ofMillis(3000);

  /**
   * The list of hosts is used for this long after the last news of it. With the lease of a lost
   * host's entry, 3 s, that is less than the 7 s for which it may be named; and a host of a fleet
   * of 350 pings its coordinator every 2.4 s.
   */
  private static final Duration MAX_LIST_AGE = Duration.ofMillis(3000);

  private Set<HostId> attached = Set.of();
  private Instant listUntil = Instant.MAX;
  private Instant validUntil = Instant.MIN;

  /** Records the hosts that the coordinator tells of; none if it did not start recently. */
  synchronized void record(Collection<HostId> hosts, Instant now) {
    attached = Set.copyOf(hosts);
    validUntil = hosts.isEmpty() ? Instant.MIN : now.plus(VALIDITY);
  }

  /** Records that the list of hosts is that of a host that reads the store. */
  synchronized void recordCurrentList(Instant now) {
    listUntil = now.plus(MAX_LIST_AGE);
  }

  /** Returns whether callers may be sent to another host that the store lists. */
  synchronized boolean mayBeNamed(HostId host, Instant now) {
    return now.isBefore(validUntil) ? attached.contains(host) : now.isBefore(listUntil);
  }
}
