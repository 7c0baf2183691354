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
 * Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): each member gets a
 * pseudo-random weight for a key, and the member with the highest weight owns the key. Every host
 * computes the same owner from the same members without talking to another; when a member comes or
 * goes only the keys that it gains or loses move. A ring with virtual nodes does the same with more
 * state and a less even spread; the cost here is one hash for each member, and a fleet has
 * hundreds.
 *
 * <p>Weights are FarmHash Fingerprint64 values of key and member name, which never change between
 * releases. Equal weights are ordered by name.
 */
public final class RendezvousHash {
  private static final char SEPARATOR = '\0';

  private RendezvousHash() {}

  /** Returns the host that owns {@code key}, or empty if there are no hosts. */
  public static Optional<HostId> owner(Collection<HostId> hosts, String key) {
    return owner(hosts, HostId::value, key);
  }

  /** Returns the item that owns {@code key}, or empty if there are none. */
  public static <T> Optional<T> owner(
      Collection<T> items, Function<? super T, String> name, String key) {
    return items.stream().max(byWeight(name, key));
  }

  /** Returns the hosts with the owner of {@code key} first and its successors after it. */
  public static List<HostId> rank(Collection<HostId> hosts, String key) {
    return rank(hosts, HostId::value, key);
  }

  /** Returns the items with the owner of {@code key} first and its successors after it. */
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
   * Returns the first {@code count} members for {@code key}, spread over data centres: no data
   * centre gives a further member while another that has members left has given fewer. The first
   * member is the owner of the key. Returns all members when there are no more than {@code count}.
   */
  public static List<Member> spread(Collection<Member> members, String key, int count) {
    List<Member> ranked = rank(members, m -> m.id().value(), key);
    Map<DataCentreId, Integer> seen = new HashMap<>();
    List<Placed> placed = new ArrayList<>(ranked.size());
    for (Member m : ranked) {
      int round = seen.merge(m.dataCentre(), 1, Integer::sum);
      placed.add(new Placed(m, round));
    }
    return placed.stream()
        .sorted(Comparator.comparingInt(Placed::round))
        .limit(count)
        .map(Placed::member)
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

  /** A member and the round in which its data centre gives it. */
  private record Placed(Member member, int round) {}

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
