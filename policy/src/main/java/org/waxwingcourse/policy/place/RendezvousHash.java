package org.waxwingcourse.policy.place;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;

/**
 * Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): each member has a
 * pseudo-random weight for a key, and the member with the highest weight owns the key. Every host
 * computes the same owner from the same members without communication. When a member joins or
 * leaves, only the keys that it gains or loses move. A hash ring with virtual nodes has the same
 * property but needs more state and distributes keys less evenly. A lookup here costs one hash per
 * member, and a fleet has hundreds of members.
 *
 * <p>Weights are FarmHash Fingerprint64 values of the key and the member name, which do not change
 * between releases. Members with equal weights are ordered by name.
 */
public final class RendezvousHash {
  private static final char SEPARATOR = '\0';

  private RendezvousHash() {}

  /** Returns the host that owns {@code key}, or empty if there are no hosts. */
  public static Optional<HostId> owner(Collection<HostId> hosts, String key) {
    return owner(hosts, HostId::value, key);
  }

  /** Returns the item that owns {@code key}, or empty if there are no items. */
  public static <T> Optional<T> owner(
      Collection<T> items, Function<? super T, String> name, String key) {
    return items.stream().max(byWeight(name, key));
  }

  /**
   * Returns the hosts in descending order of their weight for {@code key}, starting with the owner.
   */
  public static List<HostId> rank(Collection<HostId> hosts, String key) {
    return rank(hosts, HostId::value, key);
  }

  /**
   * Returns the items in descending order of their weight for {@code key}, starting with the owner.
   */
  public static <T> List<T> rank(
      Collection<T> items, Function<? super T, String> name, String key) {
    List<Weighted<T>> weighted = new ArrayList<>(items.size());
    for (T item : items) {
      weighted.add(Weighted.of(item, name.apply(item), key));
    }
    weighted.sort(Comparator.<Weighted<T>>naturalOrder().reversed());
    return weighted.stream().map(Weighted::item).toList();
  }

  /**
   * Returns the first {@code count} members for {@code key}, distributed over data centres: a
   * member is selected from a data centre only if no other data centre with remaining members has
   * fewer selected members. The first member is the owner of the key. Returns all members if there
   * are no more than {@code count}.
   */
  public static List<Member> rankAcrossDataCentres(
      Collection<Member> members, String key, int count) {
    List<Member> ranked = rank(members, m -> m.id().value(), key);
    Map<DataCentreId, Integer> countByDataCentre = new HashMap<>();
    List<RankedMember> rankedMembers = new ArrayList<>(ranked.size());
    for (Member m : ranked) {
      int rankInDataCentre = countByDataCentre.merge(m.dataCentre(), 1, Integer::sum);
      rankedMembers.add(new RankedMember(m, rankInDataCentre));
    }
    return rankedMembers.stream()
        .sorted(Comparator.comparingInt(RankedMember::rankInDataCentre))
        .limit(count)
        .map(RankedMember::member)
        .toList();
  }

  private static <T> Comparator<T> byWeight(Function<? super T, String> name, String key) {
    return Comparator.comparing(item -> Weighted.of(item, name.apply(item), key));
  }

  private static long weightOf(String member, String key) {
    return Hashing.farmHashFingerprint64()
        .hashString(key + SEPARATOR + member, StandardCharsets.UTF_8)
        .asLong();
  }

  /** A member and its rank among the members of its data centre. */
  private record RankedMember(Member member, int rankInDataCentre) {}

  /** An item with its weight for one key. */
  private record Weighted<T>(T item, String name, long weight) implements Comparable<Weighted<T>> {
    static <T> Weighted<T> of(T item, String name, String key) {
      return new Weighted<>(item, name, weightOf(name, key));
    }

    @Override
    public int compareTo(Weighted<T> other) {
      int order = Long.compareUnsigned(weight, other.weight);
      return order != 0 ? order : name.compareTo(other.name);
    }
  }
}
