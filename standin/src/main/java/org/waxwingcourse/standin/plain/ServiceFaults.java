package org.waxwingcourse.standin.plain;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults of a plain service and the body of {@code POST /control/faults}. An absent field means
 * no fault.
 *
 * @param delayMillis delay before each response, in milliseconds
 * @param resetBefore number of next calls whose connection is reset before they run
 * @param resetAfter number of next calls whose connection is reset after they have run
 * @param loseAnswers number of next calls that run and receive no response
 * @param frozen whether no call runs and no call receives a response
 * @param status HTTP status sent for each call in place of running it, zero for no fault
 */
public record ServiceFaults(
    @JsonProperty("delay_ms") long delayMillis,
    int resetBefore,
    int resetAfter,
    int loseAnswers,
    boolean frozen,
    int status) {
  /** No fault. */
  public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0, false, 0);
}
