package org.waxwingcourse.model.request;

import java.time.Instant;

/**
 * The reason why a request was not run.
 *
 * @param code the kind of refusal
 * @param message a description for the caller that names what was refused
 * @param retryAt the earliest time at which a retry may succeed
 */
public record Refusal(RefusalCode code, String message, Instant retryAt) {}
