package org.waxwingcourse.store;

import java.util.List;
import org.waxwingcourse.model.id.Revision;

/** Receives the changes of a watched range. */
public interface WatchListener {
  /**
   * Called with the changes of one or more revisions, oldest first.
   *
   * @param revision the latest revision whose changes are included
   * @param puts entries in their state after the change
   * @param deletes keys that were deleted
   */
  void onChanges(Revision revision, List<Entry> puts, List<String> deletes);

  /** Called when the watch has failed. Read the range again before opening a new watch. */
  void onFailure(StoreFailure failure);
}
