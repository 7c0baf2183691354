package org.waxwingcourse.load.report;

/**
 * How often something was seen.
 *
 * @param name what
 * @param count how often
 */
public record NamedCount(String name, long count) {}
