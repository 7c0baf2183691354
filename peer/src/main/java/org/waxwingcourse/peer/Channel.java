package org.waxwingcourse.peer;

/**
 * A subsystem that exchanges messages between hosts. Each frame carries the number of its channel.
 */
public enum Channel {
  /** Gossip about the membership of the fleet. */
  MEMBERSHIP(1),
  /** The configuration and the evidence that keys are valid. */
  CONFIGURATION(2),
  /** Division of organisations' request rates among hosts. */
  RATE(3),
  /** Requests that are forwarded to the host that owns an engine. */
  DISPATCH(4),
  /** Progress and cancellation of batch jobs. */
  BATCH(5),
  /** Coordination among hosts that share a store. */
  FLEET(6);

  private final int number;

  Channel(int number) {
    this.number = number;
  }

  /** Returns the number that identifies this channel in a frame. */
  public int number() {
    return number;
  }
}
