package org.waxwingcourse.policy.idempotency;

/**
 * A service's answer as kept for clients that ask again.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the bytes of the body
 */
public record ClaimedAnswer(int status, String contentType, byte[] body) {}
