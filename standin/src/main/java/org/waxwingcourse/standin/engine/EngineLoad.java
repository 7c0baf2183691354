package org.waxwingcourse.standin.engine;

/**
 * The load that an engine reports.
 *
 * @param running number of sequences in the batch
 * @param cachedTokens number of prompt tokens in the prefix cache
 */
public record EngineLoad(int running, int cachedTokens) {}
