package org.waxwingcourse.model.fleet;

import java.time.Duration;

/**
 * Fleet-wide settings that operators change by declaration.
 *
 * @param rate rate of an organisation without an exception
 * @param engineSlots streams that an engine is given at once
 * @param onlineTimeout time from a request's arrival to its deadline
 * @param firstToken objective: time to the first token
 * @param betweenTokens objective: time between two tokens
 * @param maxBodyBytes largest request body
 * @param batchTries how often a batch item is tried before it ends with an error
 */
public record Defaults(
    Rate rate,
    int engineSlots,
    Duration onlineTimeout,
    Duration firstToken,
    Duration betweenTokens,
    int maxBodyBytes,
    int batchTries) {}
