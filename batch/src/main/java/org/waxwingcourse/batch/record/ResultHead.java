package org.waxwingcourse.batch.record;

/**
 * Written with a chunk's commit: says which of the stored parts are its results. Parts of an owner
 * that never committed are not results.
 *
 * @param fencing the fencing number of the owner that committed
 * @param parts how many values the results take
 */
public record ResultHead(long fencing, int parts) {}
