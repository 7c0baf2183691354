package org.waxwingcourse.batch.record;

import java.util.Locale;

/** The states of a job. The names are those of the published batch API. */
public enum JobState {
  /** The job is accepted and its chunks are being run. */
  IN_PROGRESS,
  /** A cancellation was accepted, but hosts may still hold chunks of the job. */
  CANCELLING,
  /** The job was cancelled. No more items are sent. */
  CANCELLED,
  /** Every item has a result. */
  COMPLETED,
  /** Every item has a result, and some results are errors because the deadline passed. */
  EXPIRED;

  /** Returns the state's name in the API. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether this state is final. */
  public boolean isFinal() {
    return this == CANCELLED || this == COMPLETED || this == EXPIRED;
  }
}
