package org.waxwingcourse.model.request;

import java.time.Instant;

/**
 * A request that was not run, with its reason.
 *
 * @param code the kind of refusal
 * @param message names the thing that was refused
 * @param retryAt the earliest useful time to come back
 */
public record Refusal(RefusalCode code, String message, Instant retryAt) {}
