package org.waxwingcourse.batch.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.waxwingcourse.batch.record.ChunkEntry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.RecordCodec;
import org.waxwingcourse.policy.batch.JobProgress;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/**
 * The states of a job's chunks at one revision.
 *
 * @param job the job
 * @param entries the chunk entries by chunk number; a chunk without an entry is free
 * @param storeEntries the store entries that the chunk entries were read from, by chunk number
 */
public record ChunkStates(
    Job job, Map<Integer, ChunkEntry> entries, Map<Integer, Entry> storeEntries) {
  /** Returns the states in a snapshot of the job's chunk keys. */
  public static ChunkStates of(Job job, Snapshot snapshot) {
    Map<Integer, ChunkEntry> entries = new TreeMap<>();
    Map<Integer, Entry> storeEntries = new TreeMap<>();
    for (Entry entry : snapshot.entries()) {
      int chunk = Keys.chunkNumber(entry.key());
      entries.put(chunk, RecordCodec.fromEntry(entry, ChunkEntry.class));
      storeEntries.put(chunk, entry);
    }
    return new ChunkStates(job, entries, storeEntries);
  }

  /** Returns the chunks that no host holds and that have no results. */
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

  /** Returns the number of items with results in committed chunks. */
  public Job.Counts counts() {
    return entries.values().stream()
        .map(ChunkEntry::counts)
        .reduce(Job.Counts.NONE, Job.Counts::plus);
  }

  /** Returns whether items of a committed chunk failed because the deadline passed. */
  public boolean expired() {
    return entries.values().stream().anyMatch(ChunkEntry::expired);
  }

  /** Returns the job's progress. */
  public JobProgress progress() {
    return job.progress(counts(), claimed(), committed());
  }
}
