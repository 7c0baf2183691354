package org.waxwingcourse.batch.record;

import java.util.Locale;

/** The states of a job, with the names of the published batch API. */
public enum JobState {
  /** Accepted; its chunks are run. */
  IN_PROGRESS,
  /** A cancel was accepted; hosts that hold chunks are still giving them up. */
  CANCELLING,
  /** Stopped by a cancel; no item starts any more. */
  CANCELLED,
  /** Every item has a result. */
  COMPLETED,
  /** Every item has a result, some of them an error because the deadline passed. */
  EXPIRED;

  /** Returns the name in the API. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Tells whether the job can change no more. */
  public boolean ended() {
    return this == CANCELLED || this == COMPLETED || this == EXPIRED;
  }
}
