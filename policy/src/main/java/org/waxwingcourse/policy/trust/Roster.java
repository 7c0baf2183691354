package org.waxwingcourse.policy.trust;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.Revision;

/**
 * The processes that may hold shares of rates, and that vote for each other's evidence while the
 * store is out of reach.
 *
 * @param revision the store's revision that accepted it
 * @param previous revision of the roster that it replaced, {@link Revision#NONE} for the first
 * @param grownSince revision of the roster since which holders were only added, {@link
 *     Revision#NONE} if this one removed any
 * @param holders in the order of hosts
 */
public record Roster(
    Revision revision, Revision previous, Revision grownSince, List<Holder> holders) {
  /** The roster before the first one is stored. */
  public static final Roster EMPTY =
      new Roster(Revision.NONE, Revision.NONE, Revision.NONE, List.of());

  /** Copies and sorts the holders. */
  public Roster {
    holders = holders.stream().sorted(Comparator.comparing(Holder::host)).toList();
  }

  /** Returns the listed process of a host. */
  public Optional<Holder> find(HostId host) {
    return holders.stream().filter(h -> h.host().equals(host)).findFirst();
  }

  /** Tells whether exactly this process is listed. */
  public boolean lists(HostId host, long incarnation) {
    return find(host).filter(h -> h.incarnation() == incarnation).isPresent();
  }

  /** Tells whether {@code votes} hosts are more than half of those listed. */
  public boolean isMajority(int votes) {
    return 2 * votes > holders.size();
  }

  /** Returns a roster to put in the place of this one, without some hosts and with a process. */
  public Roster changed(Set<HostId> removed, Optional<Holder> added) {
    List<Holder> next = new ArrayList<>();
    for (Holder h : holders) {
      boolean replaced = added.filter(a -> a.host().equals(h.host())).isPresent();
      if (!replaced && !removed.contains(h.host())) {
        next.add(h);
      }
    }
    boolean grown = next.size() == holders.size() && !holders.isEmpty();
    added.ifPresent(next::add);
    return new Roster(Revision.NONE, revision, grown ? sinceWhenGrown() : Revision.NONE, next);
  }

  /**
   * Tells whether a holder that last saw {@code seen} had, in every roster since, at least the
   * shares that it has in this one.
   */
  public boolean continues(Roster seen) {
    if (seen.holders.isEmpty()) {
      return false;
    }
    boolean onlyGrown = grownSince.value() > 0 && !grownSince.isAfter(seen.revision);
    return previous.equals(seen.revision) || onlyGrown;
  }

  private Revision sinceWhenGrown() {
    return grownSince.value() > 0 ? grownSince : revision;
  }
}
