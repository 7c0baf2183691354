package org.waxwingcourse.model.fleet;

import java.time.Duration;

/**
 * The fleet-wide settings that operators declare.
 *
 * @param rate the rate of an organisation without an exception
 * @param engineSlots the maximum number of concurrent streams of an engine without an exception
 * @param onlineTimeout the time from the arrival of an online request to its deadline
 * @param firstToken the latency objective for the first token
 * @param betweenTokens the latency objective for the time between two tokens
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param batchTries the number of attempts after which a batch item ends with an error
 */
public record Defaults(
    Rate rate,
    int engineSlots,
    Duration onlineTimeout,
    Duration firstToken,
    Duration betweenTokens,
    int maxBodyBytes,
    int batchTries) {}
