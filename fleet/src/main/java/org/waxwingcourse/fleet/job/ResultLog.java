package org.waxwingcourse.fleet.job;

import com.google.protobuf.CodedOutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;
import org.waxwingcourse.wire.fleet.JobResults;

/**
 * The results of a job at the host that runs it: those that its record lists, by position, and
 * those that wait for a commit. An item is listed once, whichever of several commits with its
 * result the store has executed.
 *
 * <p>Not safe for use by several threads.
 */
final class ResultLog {
  /** Size in bytes above which a commit takes no further result; keeps each commit short. */
  private static final int MAX_COMMIT_BYTES = 500_000;

  private final int itemCount;
  private final int maxValueBytes;
  private final List<Integer> listed = new ArrayList<>();
  private final List<JobResult> committed = new ArrayList<>();
  private final Map<Integer, JobResult> pending = new LinkedHashMap<>();
  private int maxPartResults = Integer.MAX_VALUE;
  private int rejectedAlone;

  /** The results of one commit with the indexes of their items. */
  record Part(List<Integer> indexes, List<JobResult> results) {}

  /**
   * Creates a log.
   *
   * @param stored the results that the store holds, by position; those beyond the record's list
   *     were committed after it was read
   * @param maxValueBytes the largest value that the store takes
   */
  ResultLog(int itemCount, JobRecord record, List<JobResult> stored, int maxValueBytes) {
    this.itemCount = itemCount;
    this.maxValueBytes = maxValueBytes;
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

  /** Returns whether the store takes a value that holds this result alone. */
  boolean fitsIntoValue(JobResult result) {
    return storedBytes(result) <= maxValueBytes;
  }

  /** Returns the results that fit into the next commit, none if there are none. */
  Part nextPart() {
    List<Integer> indexes = new ArrayList<>();
    List<JobResult> results = new ArrayList<>();
    int maxBytes = Math.min(MAX_COMMIT_BYTES, maxValueBytes);
    int bytes = 0;
    for (Map.Entry<Integer, JobResult> entry : pending.entrySet()) {
      bytes += storedBytes(entry.getValue());
      if (!results.isEmpty() && (bytes > maxBytes || results.size() == maxPartResults)) {
        break;
      }
      indexes.add(entry.getKey());
      results.add(entry.getValue());
    }
    return new Part(List.copyOf(indexes), List.copyOf(results));
  }

  private static int storedBytes(JobResult result) {
    return CodedOutputStream.computeMessageSize(JobResults.RESULTS_FIELD_NUMBER, result);
  }

  /**
   * Records that the store rejected a commit itself: the next one holds at most half as many
   * results, so that one result on which the store insists holds up no other.
   */
  void recordRejected(Part part) {
    maxPartResults = Math.max(1, part.results.size() / 2);
    if (part.results.size() == 1) {
      rejectedAlone++;
      int index = part.indexes.get(0);
      pending.put(index, pending.remove(index));
    }
  }

  /** Returns how many commits of one result the store has rejected since it took the last one. */
  int rejectedAlone() {
    return rejectedAlone;
  }

  /** Records that the store has executed a commit. */
  void confirm(Part part) {
    listed.addAll(part.indexes);
    committed.addAll(part.results);
    part.indexes.forEach(pending::remove);
    maxPartResults = Integer.MAX_VALUE;
    rejectedAlone = 0;
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

  /** Returns the indexes of the items whose results wait for a commit. */
  Set<Integer> pendingIndexes() {
    return Set.copyOf(pending.keySet());
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
