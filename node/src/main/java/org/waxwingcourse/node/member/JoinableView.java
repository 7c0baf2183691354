package org.waxwingcourse.node.member;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.policy.member.Swim;

/** The hosts known to this host: only this host itself until it has joined the fleet. */
final class JoinableView implements MembershipView {
  private final Member selfBeforeJoining;
  private final List<Consumer<List<Member>>> listeners = new CopyOnWriteArrayList<>();
  private volatile Swim swim;

  JoinableView(Member selfBeforeJoining) {
    this.selfBeforeJoining = selfBeforeJoining;
  }

  synchronized void join(Swim joined) {
    joined.onChange(members -> listeners.forEach(l -> l.accept(members)));
    swim = joined;
  }

  Optional<InetSocketAddress> peerAddress(HostId host) {
    Swim joined = swim;
    return joined == null ? Optional.empty() : joined.peerAddress(host);
  }

  @Override
  public Member self() {
    Swim joined = swim;
    return joined == null ? selfBeforeJoining : joined.self();
  }

  @Override
  public List<Member> members() {
    Swim joined = swim;
    return joined == null ? List.of(selfBeforeJoining) : joined.members();
  }

  @Override
  public Optional<Member> find(HostId host) {
    Swim joined = swim;
    if (joined != null) {
      return joined.find(host);
    }
    return host.equals(selfBeforeJoining.id()) ? Optional.of(selfBeforeJoining) : Optional.empty();
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    listeners.add(listener);
  }
}
