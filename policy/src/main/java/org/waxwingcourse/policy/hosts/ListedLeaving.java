package org.waxwingcourse.policy.hosts;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;

/**
 * Matches the hosts that the platform's host list marks as leaving. The list lags and contains no
 * incarnations, so a mark applies only to the incarnation that was known when the mark was first
 * read: a host that has restarted since then is not leaving.
 */
public final class ListedLeaving implements Predicate<Member> {
  private final Function<HostId, Optional<Member>> members;
  private final Map<HostId, Long> markedIncarnations = new HashMap<>();

  private ListedLeaving(Function<HostId, Optional<Member>> members) {
    this.members = members;
  }

  /** Returns an instance without marks. */
  public static ListedLeaving of(Function<HostId, Optional<Member>> members) {
    return new ListedLeaving(members);
  }

  /** Replaces the marks by those of the current host list. */
  public synchronized void update(Collection<HostId> leaving) {
    markedIncarnations.keySet().retainAll(leaving);
    for (HostId host : leaving) {
      members.apply(host).ifPresent(m -> markedIncarnations.putIfAbsent(host, m.incarnation()));
    }
  }

  @Override
  public synchronized boolean test(Member member) {
    Long incarnation = markedIncarnations.get(member.id());
    return incarnation != null && member.incarnation() <= incarnation;
  }
}
