package org.waxwingcourse.node.member;

import java.util.function.Supplier;
import org.waxwingcourse.policy.hosts.PlannedStop;
import org.waxwingcourse.policy.member.Swim;

/** Leaves the SWIM membership; the host must have joined before any method is called. */
final class SwimDeparture implements PlannedStop.Departure {
  private final Supplier<Swim> swim;

  SwimDeparture(Supplier<Swim> swim) {
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
