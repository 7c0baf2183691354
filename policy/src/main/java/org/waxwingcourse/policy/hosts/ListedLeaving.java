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
 * Hosts that the platform's list marks as leaving. The list lags and knows no incarnations, so a
 * mark counts only for the incarnation that was known when the mark was first read: a host that has
 * been started again since is not leaving.
 */
public final class ListedLeaving implements Predicate<Member> {
  private final Function<HostId, Optional<Member>> members;
  private final Map<HostId, Long> marked = new HashMap<>();

  private ListedLeaving(Function<HostId, Optional<Member>> members) {
    this.members = members;
  }

  /** Returns an empty set of marks over a look-up of members. */
  public static ListedLeaving of(Function<HostId, Optional<Member>> members) {
    return new ListedLeaving(members);
  }

  /** Takes the hosts that the list marks now. */
  public synchronized void update(Collection<HostId> leaving) {
    marked.keySet().retainAll(leaving);
    for (HostId host : leaving) {
      members.apply(host).ifPresent(m -> marked.putIfAbsent(host, m.incarnation()));
    }
  }

  @Override
  public synchronized boolean test(Member member) {
    Long incarnation = marked.get(member.id());
    return incarnation != null && member.incarnation() <= incarnation;
  }
}
