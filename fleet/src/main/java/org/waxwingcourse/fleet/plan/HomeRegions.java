package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The regions whose engines may get the requests of a route or an organisation.
 *
 * @param named the regions; none if all may
 */
public record HomeRegions(Option<Set<String>> named) {
  /** All regions. */
  public static final HomeRegions ANY = new HomeRegions(Option.none());

  /** Returns the regions that a configuration names; if it names none, all. */
  public static HomeRegions of(Collection<String> regions) {
    return regions.isEmpty() ? ANY : new HomeRegions(Option.some(Set.copyOf(regions)));
  }

  /** Returns the regions that are in this and in the other set; there may be none. */
  public HomeRegions and(HomeRegions other) {
    if (named.isEmpty() || other.named.isEmpty()) {
      return named.isEmpty() ? other : this;
    }
    Set<String> both = new TreeSet<>(named.get());
    both.retainAll(other.named.get());
    return new HomeRegions(Option.some(Set.copyOf(both)));
  }

  /** Returns whether not all regions are allowed. */
  public boolean isRestricted() {
    return named.isDefined();
  }

  /** Returns whether a region is allowed; one that is not known only if all are. */
  public boolean allow(Option<String> region) {
    return named.forAll(n -> region.exists(n::contains));
  }

  /** Returns the regions in order, for messages; empty if all are allowed. */
  public List<String> names() {
    return named.map(n -> List.copyOf(new TreeSet<>(n))).getOrElse(List.of());
  }
}
