package org.waxwingcourse.load.run;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * One try of a request as it went. Times are counted from the start of the run.
 *
 * @param sentAt when it was sent
 * @param endedAt when its answer ended
 * @param outcome how it ended
 * @param partsAt when each part of a streamed answer that carried text came
 * @param retryAfter when a refusal says to come back, counted from its arrival
 */
record Try(
    Duration sentAt,
    Duration endedAt,
    TryOutcome outcome,
    List<Duration> partsAt,
    Optional<Duration> retryAfter) {}
