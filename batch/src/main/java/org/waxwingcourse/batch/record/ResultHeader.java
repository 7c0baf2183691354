package org.waxwingcourse.batch.record;

/**
 * Identifies the stored parts that are the results of a chunk. It is written by the chunk's commit;
 * parts written by an owner that never committed are not results.
 *
 * @param fencing the fencing number of the owner that committed the chunk
 * @param parts the number of stored values that hold the results
 */
public record ResultHeader(long fencing, int parts) {}
