package org.waxwingcourse.batch.job;

import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.RecordCodec;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;

/**
 * A job's manifest with its revision in the store.
 *
 * @param job the manifest
 * @param revision the revision that a compare-and-swap compares
 */
public record StoredJob(Job job, Revision revision) {
  /** Returns the manifest that is stored in an entry. */
  public static StoredJob of(Entry entry) {
    return new StoredJob(RecordCodec.fromEntry(entry, Job.class), entry.modified());
  }
}
