package org.waxwingcourse.peer;

/** The subsystems that exchange messages between hosts; the number stands in each frame. */
public enum Channel {
  /** Gossip of heartbeats and suspicion. */
  MEMBERSHIP(1),
  /** Configuration and key evidence. */
  CONFIGURATION(2),
  /** Shares of rates. */
  RATE(3),
  /** Requests forwarded to the owner of an engine. */
  DISPATCH(4),
  /** Batch progress and cancellation. */
  BATCH(5),
  /** Coordination of hosts that share a store. */
  FLEET(6);

  private final int number;

  Channel(int number) {
    this.number = number;
  }

  /** Returns the number in a frame. */
  public int number() {
    return number;
  }
}
