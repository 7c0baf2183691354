package org.waxwingcourse.batch.record;

import java.util.List;

/**
 * A record that is stored before items that may not be repeated are sent. The next owner of the
 * chunk learns from it which items must not be sent again.
 *
 * @param sentUpTo items with an index below this one may have been sent
 * @param results the known result lines of these items in order, with an empty string for an
 *     unknown result
 */
public record SendCheckpoint(int sentUpTo, List<String> results) {
  /** The checkpoint of a chunk of which no item was sent. */
  public static final SendCheckpoint NONE = new SendCheckpoint(0, List.of());

  /** Copies the results. */
  public SendCheckpoint {
    results = List.copyOf(results);
  }
}
