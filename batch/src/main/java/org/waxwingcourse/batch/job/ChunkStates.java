package org.waxwingcourse.batch.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.waxwingcourse.batch.record.ChunkEntry;
import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.policy.batch.JobProgress;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/**
 * The states of a job's chunks at one revision.
 *
 * @param job the job
 * @param entries the stored states by chunk; a chunk without one is free
 * @param stored the same as they stand in the store
 */
public record ChunkStates(Job job, Map<Integer, ChunkEntry> entries, Map<Integer, Entry> stored) {
  /** Returns the states that a read of the job's prefix saw. */
  public static ChunkStates of(Job job, Snapshot snapshot) {
    Map<Integer, ChunkEntry> entries = new TreeMap<>();
    Map<Integer, Entry> stored = new TreeMap<>();
    for (Entry entry : snapshot.entries()) {
      int chunk = Keys.chunkNumber(entry.key());
      entries.put(chunk, Codec.read(entry, ChunkEntry.class));
      stored.put(chunk, entry);
    }
    return new ChunkStates(job, entries, stored);
  }

  /** Returns the chunks that nobody holds and that have no results. */
  public List<Integer> free() {
    List<Integer> free = new ArrayList<>();
    for (int i = 0; i < job.input().chunks(); i++) {
      if (!entries.containsKey(i)) {
        free.add(i);
      }
    }
    return free;
  }

  /** Returns the number of chunks with results. */
  public int committed() {
    return (int) entries.values().stream().filter(ChunkEntry::committed).count();
  }

  /** Returns the number of chunks that a host holds. */
  public int claimed() {
    return entries.size() - committed();
  }

  /** Returns the items with results. */
  public Job.Counts counts() {
    return entries.values().stream()
        .map(ChunkEntry::counts)
        .reduce(Job.Counts.NONE, Job.Counts::plus);
  }

  /** Tells whether items of a committed chunk ended because the deadline passed. */
  public boolean expired() {
    return entries.values().stream().anyMatch(ChunkEntry::expired);
  }

  /** Returns how far the job has come. */
  public JobProgress progress() {
    return job.progress(counts(), claimed(), committed());
  }
}
