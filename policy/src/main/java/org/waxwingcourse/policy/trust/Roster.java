package org.waxwingcourse.policy.trust;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;

/**
 * The processes that may hold shares of rates and that vote to renew each other's evidence while
 * the store is unreachable.
 *
 * @param revision the store revision at which it was written
 * @param previous revision of the roster that it replaced, {@link Revision#NONE} for the first
 * @param grownSince revision of the roster since which holders were only added, {@link
 *     Revision#NONE} if this one removed any
 * @param holders the holders in the order of host names
 */
public record Roster(
    Revision revision, Revision previous, Revision grownSince, List<Holder> holders) {
  /** The roster that is in force before the first one is stored. */
  public static final Roster EMPTY =
      new Roster(Revision.NONE, Revision.NONE, Revision.NONE, List.of());

  /** Copies and sorts the holders. */
  public Roster {
    holders = holders.stream().sorted(Comparator.comparing(Holder::host)).toList();
  }

  /** Returns the listed process of a host, or empty if there is none. */
  public Optional<Holder> find(HostId host) {
    return holders.stream().filter(h -> h.host().equals(host)).findFirst();
  }

  /** Returns whether the process with the given host and incarnation is listed. */
  public boolean lists(HostId host, long incarnation) {
    return find(host).filter(h -> h.incarnation() == incarnation).isPresent();
  }

  /** Returns whether {@code votes} is more than half of the number of listed hosts. */
  public boolean isMajority(int votes) {
    return 2 * votes > holders.size();
  }

  /**
   * Returns a replacement for this roster without the removed hosts and with the added process, if
   * any.
   */
  public Roster withChanges(Set<HostId> removed, Optional<Holder> added) {
    List<Holder> remaining = new ArrayList<>();
    for (Holder h : holders) {
      boolean isReplaced = added.filter(a -> a.host().equals(h.host())).isPresent();
      if (!isReplaced && !removed.contains(h.host())) {
        remaining.add(h);
      }
    }
    boolean onlyAdds = remaining.size() == holders.size() && !holders.isEmpty();
    added.ifPresent(remaining::add);
    return new Roster(
        Revision.NONE, revision, onlyAdds ? grownSinceForAddition() : Revision.NONE, remaining);
  }

  /**
   * Returns whether a holder that last applied {@code seen} had at least its shares of this roster
   * in every roster since then.
   */
  public boolean isContinuousFrom(Roster seen) {
    if (seen.holders.isEmpty()) {
      return false;
    }
    boolean onlyAddedSince = grownSince.value() > 0 && !grownSince.isAfter(seen.revision);
    return previous.equals(seen.revision) || onlyAddedSince;
  }

  private Revision grownSinceForAddition() {
    return grownSince.value() > 0 ? grownSince : revision;
  }
}
