package org.waxwingcourse.batch.job;

import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.ResultHead;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.platform.store.Entry;
import org.waxwingcourse.platform.store.KeyRange;
import org.waxwingcourse.platform.store.StoreFailure;

/** Reads committed results and input files, a chunk at a time, from any host. */
public final class Results {
  /** First character of a stored result that is an answer. */
  public static final char SUCCEEDED = '+';

  /** First character of a stored result that is an error. */
  public static final char FAILED = '-';

  private final StoreCalls calls;

  /** Creates a reader over a store. */
  public Results(StoreCalls calls) {
    this.calls = calls;
  }

  /**
   * Returns the lines of one chunk's results of one kind, none if the chunk is not committed.
   *
   * @param kind {@link #SUCCEEDED} or {@link #FAILED}
   */
  public Either<StoreFailure, List<String>> chunk(Job job, int chunk, char kind) {
    return calls
        .read(KeyRange.ofPrefix(Keys.results(job.id(), chunk)))
        .map(s -> committed(job, chunk, s.entries()))
        .map(lines -> ofKind(lines, kind));
  }

  /** Returns the lines of one chunk of an input file. */
  public Either<StoreFailure, List<String>> input(FileId file, Job.InputRef input, int chunk) {
    return calls
        .read(KeyRange.ofKey(Keys.input(file, input.upload(), chunk)))
        .map(s -> Codec.unpack(s.entries()));
  }

  private static List<String> committed(Job job, int chunk, List<Entry> entries) {
    String headKey = Keys.resultHead(job.id(), chunk);
    return entries.stream()
        .filter(e -> e.key().equals(headKey))
        .findFirst()
        .map(e -> parts(job, chunk, Codec.read(e, ResultHead.class), entries))
        .orElse(List.of());
  }

  private static List<String> parts(Job job, int chunk, ResultHead head, List<Entry> entries) {
    Set<String> keys =
        IntStream.range(0, head.parts())
            .mapToObj(i -> Keys.result(job.id(), chunk, head.fencing(), i))
            .collect(Collectors.toSet());
    return Codec.unpack(entries.stream().filter(e -> keys.contains(e.key())).toList());
  }

  private static List<String> ofKind(List<String> lines, char kind) {
    return lines.stream()
        .filter(l -> !l.isEmpty() && l.charAt(0) == kind)
        .map(l -> l.substring(1))
        .toList();
  }
}
