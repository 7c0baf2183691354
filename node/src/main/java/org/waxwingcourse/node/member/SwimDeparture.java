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
  public void announceLeaving() {
    swim.get().announceLeaving();
  }

  @Override
  public boolean isLeavingAcknowledged() {
    return swim.get().isLeavingAcknowledged();
  }

  @Override
  public boolean hasOtherServingHosts() {
    return swim.get().hasOtherServingHosts();
  }

  @Override
  public void announceLeft() {
    swim.get().announceLeft();
  }
}
