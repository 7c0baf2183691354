package org.waxwingcourse.fleet.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;

/**
 * The results of a job at the host that runs it: those that its record lists, by position, and
 * those that wait for a commit. An item is listed once, whichever of several commits with its
 * result the store has executed.
 *
 * <p>Not safe for use by several threads.
 */
final class ResultLog {
  /** Maximum characters of result text in one value; below the largest value of the store. */
  private static final int MAX_PART_CHARS = 500_000;

  private final int itemCount;
  private final List<Integer> listed = new ArrayList<>();
  private final List<JobResult> committed = new ArrayList<>();
  private final Map<Integer, JobResult> pending = new LinkedHashMap<>();

  /** The results of one commit with the indexes of their items. */
  record Part(List<Integer> indexes, List<JobResult> results) {}

  /**
   * Creates a log.
   *
   * @param stored the results that the store holds, by position; those beyond the record's list
   *     were committed after it was read
   */
  ResultLog(int itemCount, JobRecord record, List<JobResult> stored) {
    this.itemCount = itemCount;
    adopt(record, stored);
  }

  /** Returns whether a record lists a result for each item. */
  static boolean isComplete(JobRecord record) {
    return isComplete(record.getListedList(), record.getItemTokensCount());
  }

  // Records of earlier versions may list an item twice.
  private static boolean isComplete(List<Integer> listed, int itemCount) {
    return listed.size() >= itemCount && new HashSet<>(listed).size() == itemCount;
  }

  /** Adds the result of an item unless one is listed already. */
  void add(int index, JobResult result) {
    if (!listed.contains(index)) {
      pending.putIfAbsent(index, result);
    }
  }

  /** Returns the results that fit into the next commit, none if there are none. */
  Part nextPart() {
    List<Integer> indexes = new ArrayList<>();
    List<JobResult> results = new ArrayList<>();
    int charCount = 0;
    for (Map.Entry<Integer, JobResult> entry : pending.entrySet()) {
      if (charCount >= MAX_PART_CHARS) {
        break;
      }
      indexes.add(entry.getKey());
      results.add(entry.getValue());
      charCount += entry.getValue().getText().length();
    }
    return new Part(List.copyOf(indexes), List.copyOf(results));
  }

  /** Records that the store has executed a commit. */
  void confirm(Part part) {
    listed.addAll(part.indexes);
    committed.addAll(part.results);
    part.indexes.forEach(pending::remove);
  }

  /** Returns whether a record lists more than is known here to be committed. */
  boolean isBehind(JobRecord record) {
    return !record.getListedList().equals(listed);
  }

  /**
   * Takes over what the store holds: a commit whose outcome was unknown has been executed.
   *
   * @param stored the results that the store holds, by position, read after the record
   */
  void adopt(JobRecord record, List<JobResult> stored) {
    listed.clear();
    listed.addAll(record.getListedList());
    committed.clear();
    committed.addAll(stored.subList(0, Math.min(stored.size(), listed.size())));
    pending.keySet().removeAll(Set.copyOf(listed));
  }

  /** Returns the listed results from a position on. */
  List<JobResult> after(int position) {
    return List.copyOf(committed.subList(Math.min(position, committed.size()), committed.size()));
  }

  int committedCount() {
    return committed.size();
  }

  int pendingCount() {
    return pending.size();
  }

  boolean isComplete() {
    return isComplete(listed, itemCount);
  }

  /** Returns whether all results are known, listed or not. */
  boolean isLastKnown() {
    return committed.size() + pending.size() >= itemCount;
  }
}
