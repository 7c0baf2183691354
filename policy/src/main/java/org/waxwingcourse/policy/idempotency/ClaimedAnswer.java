package org.waxwingcourse.policy.idempotency;

/**
 * A service's response, stored for clients that repeat the call.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body
 */
public record ClaimedAnswer(int status, String contentType, byte[] body) {}
