package org.waxwingcourse.batch.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.waxwingcourse.batch.cache.ChunkCache;
import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.ResultHead;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.StoreFailure;

/** Reads committed results and input files, a chunk at a time, from any host. */
public final class Results {
  /** First character of a stored result that is an answer. */
  public static final char SUCCEEDED = '+';

  /** First character of a stored result that is an error. */
  public static final char FAILED = '-';

  private final StoreCalls calls;
  private final ChunkCache cache;

  /** Creates a reader over a store. */
  public Results(StoreCalls calls) {
    this(calls, ChunkCache.NONE);
  }

  /** Creates a reader over a store that keeps copies. */
  public Results(StoreCalls calls, ChunkCache cache) {
    this.calls = calls;
    this.cache = cache;
  }

  /**
   * Returns the lines of one chunk's results of one kind, none if the chunk is not committed.
   *
   * @param kind {@link #SUCCEEDED} or {@link #FAILED}
   */
  public Either<StoreFailure, List<String>> chunk(Job job, int chunk, char kind) {
    return cached(
            Keys.resultHead(job.id(), chunk),
            KeyRange.ofPrefix(Keys.results(job.id(), chunk)),
            entries -> committed(job, chunk, entries))
        .map(lines -> ofKind(lines, kind));
  }

  /** Returns the lines of one chunk of an input file. */
  public Either<StoreFailure, List<String>> input(FileId file, Job.InputRef input, int chunk) {
    String key = Keys.input(file, input.upload(), chunk);
    return cached(key, KeyRange.ofKey(key), Codec::unpack);
  }

  /** What is there never changes, so a copy of it is as good; what is not there may still come. */
  private Either<StoreFailure, List<String>> cached(
      String key, KeyRange range, Function<List<Entry>, List<String>> read) {
    Option<byte[]> copy = cache.get(key);
    if (copy.isDefined()) {
      return Either.right(Codec.unpack(copy.get()));
    }
    Either<StoreFailure, List<String>> lines = calls.read(range).map(Snapshot::entries).map(read);
    lines
        .filter(l -> !l.isEmpty())
        .forEach(l -> l.forEach(some -> cache.put(key, Codec.pack(some))));
    return lines;
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
