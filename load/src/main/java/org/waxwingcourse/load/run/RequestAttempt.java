package org.waxwingcourse.load.run;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The result of one attempt to send a request. Times are counted from the start of the run.
 *
 * @param sentAt when the request was sent
 * @param endedAt when the answer ended
 * @param outcome how the attempt ended
 * @param partsAt when each part of a streamed answer that contains text was received
 * @param retryAfter the delay that the Retry-After header asks for, counted from the end of the
 *     answer
 */
record RequestAttempt(
    Duration sentAt,
    Duration endedAt,
    AttemptOutcome outcome,
    List<Duration> partsAt,
    Optional<Duration> retryAfter) {}
