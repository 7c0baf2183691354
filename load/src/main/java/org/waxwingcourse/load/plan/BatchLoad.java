package org.waxwingcourse.load.plan;

import java.time.Duration;

/**
 * A scheduled batch job.
 *
 * @param organisation name of the organisation that submits the job
 * @param submitAt submission time, counted from the start of the run
 * @param items number of items
 * @param outputTokens number of tokens requested for each item
 */
public record BatchLoad(String organisation, Duration submitAt, int items, int outputTokens) {}
