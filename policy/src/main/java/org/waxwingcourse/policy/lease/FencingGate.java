package org.waxwingcourse.policy.lease;

import org.waxwingcourse.model.id.FencingNumber;

/**
 * The receiver's half of fencing: remembers the highest number that it has seen and refuses a lower
 * one, so that an order of a former owner which arrives late has no effect.
 */
public final class FencingGate {
  private FencingNumber highest = FencingNumber.NONE;

  /** Returns whether an order with this number may take effect, and remembers the number. */
  public synchronized boolean admit(FencingNumber number) {
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
