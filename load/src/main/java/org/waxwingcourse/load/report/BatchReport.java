package org.waxwingcourse.load.report;

/**
 * How one batch job went.
 *
 * @param organisation whose it was
 * @param items items sent
 * @param status the job's last status, or what went wrong
 * @param completed items completed
 * @param failed items that ended with an error
 * @param seconds from sending to the end, or to the end of the run
 */
public record BatchReport(
    String organisation, int items, String status, long completed, long failed, double seconds) {}
