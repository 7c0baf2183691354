package org.waxwingcourse.load.plan;

import java.time.Duration;

/**
 * A span in which one organisation sends several times its usual load.
 *
 * @param organisation its name
 * @param at start, counted from the start of the run
 * @param length how long it lasts
 * @param factor how many times the usual load
 */
public record Surge(String organisation, Duration at, Duration length, double factor) {
  boolean covers(String name, Duration offset) {
    return organisation.equals(name)
        && offset.compareTo(at) >= 0
        && offset.compareTo(at.plus(length)) < 0;
  }
}
