package org.waxwingcourse.load.report;

/**
 * A counter with its name.
 *
 * @param name name of the counted event
 * @param count number of occurrences
 */
public record NamedCount(String name, long count) {}
