package org.waxwingcourse.load.plan;

import java.time.Duration;

/**
 * A time span in which one organisation sends a multiple of its usual load.
 *
 * @param organisation name of the organisation
 * @param startsAt start of the span, counted from the start of the run
 * @param length length of the span
 * @param factor multiple of the usual load
 */
public record Surge(String organisation, Duration startsAt, Duration length, double factor) {
  boolean covers(String organisationName, Duration offset) {
    return organisation.equals(organisationName)
        && offset.compareTo(startsAt) >= 0
        && offset.compareTo(startsAt.plus(length)) < 0;
  }
}
