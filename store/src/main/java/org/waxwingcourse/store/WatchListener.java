package org.waxwingcourse.store;

import java.util.List;
import org.waxwingcourse.model.id.Revision;

/** Hears the changes of a watched range. */
public interface WatchListener {
  /**
   * Changes made at one or more revisions, oldest first.
   *
   * @param revision the newest revision covered
   * @param puts entries as they stand after their change
   * @param deletes keys that were deleted
   */
  void onChanges(Revision revision, List<Entry> puts, List<String> deletes);

  /** The watch has ended by a failure; read the range again before watching anew. */
  void onBroken(StoreFailure failure);
}
