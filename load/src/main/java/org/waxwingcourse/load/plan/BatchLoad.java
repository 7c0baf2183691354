package org.waxwingcourse.load.plan;

import java.time.Duration;

/**
 * One batch job.
 *
 * @param organisation its name
 * @param at when it is sent, counted from the start of the run
 * @param items number of items
 * @param outputTokens tokens asked for in each
 */
public record BatchLoad(String organisation, Duration at, int items, int outputTokens) {}
