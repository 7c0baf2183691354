package org.waxwingcourse.fleet.coordinate;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.model.id.HostId;

/**
 * The hosts that have answered while this host, which has just started, searched for a coordinator.
 *
 * <p>Load pattern: all hosts lose power and start again, the slow ones seconds after the fast ones.
 * The store lists the ended processes until their leases expire; callers that are sent to them meet
 * a closed port. A host that was listed before the search and has not answered it is therefore not
 * named to callers until its lease must have expired. A host that gets no answer at all may be cut
 * off from the others, and names all hosts.
 *
 * <p>Safe for use by several threads.
 */
final class SearchedHosts {
  /** Hosts that run answer within this time. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(250);

  /** An entry that the store lists this long after the search began has been renewed since. */
  private static final Duration SEARCH_VALIDITY = Duration.ofMillis(3500);

  private final Set<FleetHost> listed = new HashSet<>();
  private final Set<HostId> answered = new HashSet<>();
  private Instant searchedAt;

  /** Records that all listed hosts are asked for a sign of life. */
  synchronized void recordSearch(Iterable<FleetHost> hosts, Instant now) {
    if (searchedAt == null) {
      searchedAt = now;
    }
    if (now.isBefore(searchedAt.plus(ANSWER_TIME))) {
      hosts.forEach(listed::add);
    }
  }

  /** Records an answer of a host. */
  synchronized void recordAnswer(HostId host) {
    answered.add(host);
  }

  /** Returns whether the host's process must be assumed to have ended. */
  synchronized boolean isSilent(FleetHost host, Instant now) {
    return searchedAt != null
        && !answered.isEmpty()
        && now.isAfter(searchedAt.plus(ANSWER_TIME))
        && now.isBefore(searchedAt.plus(SEARCH_VALIDITY))
        && listed.contains(host)
        && !answered.contains(host.id());
  }
}
