package org.waxwingcourse.load.report;

/**
 * The result of one batch job.
 *
 * @param organisation name of the organisation that submitted the job
 * @param items number of submitted items
 * @param status the job's last known status, or a description of the failure
 * @param completed number of completed items
 * @param failed number of items that ended with an error
 * @param seconds time from submission to the end of the job or of the run, seconds
 */
public record BatchReport(
    String organisation, int items, String status, long completed, long failed, double seconds) {}
