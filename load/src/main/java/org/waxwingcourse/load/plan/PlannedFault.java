package org.waxwingcourse.load.plan;

import java.net.URI;
import java.time.Duration;

/**
 * A control call to a stand-in by schedule.
 *
 * @param at when, counted from the start of the run
 * @param address where to POST
 * @param body the JSON to send
 */
public record PlannedFault(Duration at, URI address, String body) {}
