package org.waxwingcourse.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults of an engine and the body of {@code POST /control/faults}. An absent field means no
 * fault.
 *
 * @param slowFactor factor on the duration of steps, zero or one for no fault
 * @param frozen whether requests receive no response and no step runs
 * @param lateMillis delay of each part of a response, in milliseconds
 * @param crossAnswers number of next requests that receive the response to the previous request
 */
public record EngineFaults(
    double slowFactor, boolean frozen, @JsonProperty("late_ms") long lateMillis, int crossAnswers) {
  /** No fault. */
  public static final EngineFaults NONE = new EngineFaults(1, false, 0, 0);
}
