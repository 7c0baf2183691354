package org.waxwingcourse.standin.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults of an engine, as in the body of {@code POST /control/faults}; an absent field is no
 * fault.
 *
 * @param slowFactor steps take this many times longer, zero and one for no fault
 * @param frozen nothing is answered and no step is made
 * @param lateMillis each part of an answer comes this much late
 * @param crossAnswers the next requests that get the answer of the request before them
 */
public record EngineFaults(
    double slowFactor, boolean frozen, @JsonProperty("late_ms") long lateMillis, int crossAnswers) {
  /** No fault. */
  public static final EngineFaults NONE = new EngineFaults(1, false, 0, 0);
}
