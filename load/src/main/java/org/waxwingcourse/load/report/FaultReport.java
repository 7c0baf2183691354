package org.waxwingcourse.load.report;

/**
 * A fault as it was switched.
 *
 * @param atSeconds when, counted from the start of the run
 * @param address where the control call went
 * @param body what it said
 * @param result the status, or what went wrong
 */
public record FaultReport(double atSeconds, String address, String body, String result) {}
