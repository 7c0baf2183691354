package org.waxwingcourse.load.report;

/**
 * A fault injected during a run.
 *
 * @param atSeconds when the control call was sent, seconds from the start of the run
 * @param address address of the control call
 * @param body body of the control call
 * @param result HTTP status of the response, or a description of the failure
 */
public record FaultReport(double atSeconds, String address, String body, String result) {}
