package org.waxwingcourse.standin.engine;

/**
 * What an engine reports of its load.
 *
 * @param running sequences in the batch
 * @param cachedTokens prompt tokens in the prefix cache
 */
public record EngineLoad(int running, int cachedTokens) {}
