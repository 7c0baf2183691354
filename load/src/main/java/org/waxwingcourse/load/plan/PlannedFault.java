package org.waxwingcourse.load.plan;

import java.net.URI;
import java.time.Duration;

/**
 * A scheduled control call to a stand-in that injects a fault.
 *
 * @param scheduledAt time of the call, counted from the start of the run
 * @param address address to POST to
 * @param body JSON body of the call
 */
public record PlannedFault(Duration scheduledAt, URI address, String body) {}
