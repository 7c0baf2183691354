package org.waxwingcourse.batch.record;

import java.util.List;

/**
 * Stored before items that may not be repeated are sent.
 *
 * @param sentUpTo items below this index may have been sent
 * @param results what is known of them, in order, the empty string where nothing is
 */
public record ChunkMark(int sentUpTo, List<String> results) {
  /** Nothing was sent. */
  public static final ChunkMark NONE = new ChunkMark(0, List.of());

  /** Copies the results. */
  public ChunkMark {
    results = List.copyOf(results);
  }
}
