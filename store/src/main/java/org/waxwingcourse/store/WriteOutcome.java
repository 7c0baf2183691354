package org.waxwingcourse.store;

import java.util.List;
import org.waxwingcourse.model.id.Revision;

/** The outcome of a write, as far as the writer can know it. */
public sealed interface WriteOutcome {
  /**
   * The write took effect.
   *
   * @param revision the revision that the write created
   */
  record Done(Revision revision) implements WriteOutcome {}

  /**
   * A comparison failed, so nothing was written.
   *
   * @param revision the store's revision at that time
   * @param current the current entries of the compared keys
   */
  record Lost(Revision revision, List<Entry> current) implements WriteOutcome {}

  /**
   * The store cannot have applied the write: no byte was sent, or the store rejected the call.
   *
   * @param failure why the write was not applied
   */
  record NotSent(StoreFailure failure) implements WriteOutcome {}

  /**
   * The write may or may not have taken effect.
   *
   * @param message a description of the failure
   */
  record Unknown(String message) implements WriteOutcome {}
}
