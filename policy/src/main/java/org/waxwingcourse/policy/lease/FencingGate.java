package org.waxwingcourse.policy.lease;

import org.waxwingcourse.model.id.FencingNumber;

/**
 * The receiver's side of fencing: stores the highest fencing number that it has seen and rejects
 * lower ones, so that a delayed order from a former owner has no effect.
 */
public final class FencingGate {
  private FencingNumber highest = FencingNumber.NONE;

  /** Returns whether an order with this number may take effect, and stores the number if so. */
  public synchronized boolean tryAdmit(FencingNumber number) {
    if (highest.isAfter(number)) {
      return false;
    }
    highest = number;
    return true;
  }

  /** Returns the highest number seen. */
  public synchronized FencingNumber highest() {
    return highest;
  }
}
