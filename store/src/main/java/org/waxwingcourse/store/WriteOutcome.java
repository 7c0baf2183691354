package org.waxwingcourse.store;

import java.util.List;
import org.waxwingcourse.model.id.Revision;

/** How a write ended, as far as the writer can know. */
public sealed interface WriteOutcome {
  /**
   * The write took effect.
   *
   * @param revision the revision that it made
   */
  record Done(Revision revision) implements WriteOutcome {}

  /**
   * A comparison did not hold; nothing was written.
   *
   * @param revision the store's revision
   * @param current the entries of the compared keys, as they stand
   */
  record Lost(Revision revision, List<Entry> current) implements WriteOutcome {}

  /**
   * The store cannot have applied the write: no byte left, or the store refused the call.
   *
   * @param failure what was seen
   */
  record NotSent(StoreFailure failure) implements WriteOutcome {}

  /**
   * The write may or may not have taken effect.
   *
   * @param message what was seen
   */
  record Unknown(String message) implements WriteOutcome {}
}
