package org.waxwingcourse.node.member;

import java.util.function.Supplier;
import org.waxwingcourse.policy.hosts.PlannedStop;
import org.waxwingcourse.policy.member.Swim;

/** The departure of a host that has joined by the time that it leaves. */
final class JoinedDeparture implements PlannedStop.Departure {
  private final Supplier<Swim> swim;

  JoinedDeparture(Supplier<Swim> swim) {
    this.swim = swim;
  }

  @Override
  public void leave() {
    swim.get().leave();
  }

  @Override
  public boolean leaveKnown() {
    return swim.get().leaveKnown();
  }

  @Override
  public boolean othersServe() {
    return swim.get().othersServe();
  }

  @Override
  public void left() {
    swim.get().left();
  }
}
