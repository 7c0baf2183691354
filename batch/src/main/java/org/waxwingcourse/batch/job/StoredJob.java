package org.waxwingcourse.batch.job;

import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;

/**
 * A manifest with the revision that stored it.
 *
 * @param job the manifest
 * @param revision what a compare-and-swap compares
 */
public record StoredJob(Job job, Revision revision) {
  /** Returns the manifest that an entry holds. */
  public static StoredJob of(Entry entry) {
    return new StoredJob(Codec.read(entry, Job.class), entry.modified());
  }
}
