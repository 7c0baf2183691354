package org.waxwingcourse.batch.job;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.waxwingcourse.batch.cache.ChunkCache;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.RecordCodec;
import org.waxwingcourse.batch.record.ResultHeader;
import org.waxwingcourse.batch.store.StoreClient;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.StoreFailure;

/** Reads committed results and input files one chunk at a time. */
public final class ResultReader {
  /** The first character of a stored result line of an item that succeeded. */
  public static final char SUCCEEDED = '+';

  /** The first character of a stored result line of an item that failed. */
  public static final char FAILED = '-';

  private final StoreClient storeClient;
  private final ChunkCache cache;

  /** Creates a reader without a cache. */
  public ResultReader(StoreClient storeClient) {
    this(storeClient, ChunkCache.NONE);
  }

  /** Creates a reader that caches what it reads. */
  public ResultReader(StoreClient storeClient, ChunkCache cache) {
    this.storeClient = storeClient;
    this.cache = cache;
  }

  /**
   * Returns the result lines of one kind of a chunk, an empty list if the chunk is not committed.
   *
   * @param kind {@link #SUCCEEDED} or {@link #FAILED}
   */
  public Either<StoreFailure, List<String>> readResults(Job job, int chunk, char kind) {
    return readThroughCache(
            Keys.resultHeader(job.id(), chunk),
            KeyRange.ofPrefix(Keys.chunkResults(job.id(), chunk)),
            entries -> committedLines(job, chunk, entries))
        .map(lines -> linesOfKind(lines, kind));
  }

  /** Returns the lines of one chunk of an input file. */
  public Either<StoreFailure, List<String>> readInput(FileId file, Job.InputRef input, int chunk) {
    String key = Keys.inputChunk(file, input.upload(), chunk);
    return readThroughCache(key, KeyRange.ofKey(key), RecordCodec::decompress);
  }

  /**
   * Stored chunks and results never change, so cached values stay valid. Absent ones may be stored
   * later and are not cached.
   */
  private Either<StoreFailure, List<String>> readThroughCache(
      String key, KeyRange range, Function<List<Entry>, List<String>> decode) {
    Option<byte[]> cachedValue = cache.get(key);
    if (cachedValue.isDefined()) {
      return Either.right(RecordCodec.decompress(cachedValue.get()));
    }
    Either<StoreFailure, List<String>> lines =
        storeClient.read(range).map(Snapshot::entries).map(decode);
    lines
        .filter(l -> !l.isEmpty())
        .forEach(l -> l.forEach(value -> cache.put(key, RecordCodec.compress(value))));
    return lines;
  }

  private static List<String> committedLines(Job job, int chunk, List<Entry> entries) {
    String headerKey = Keys.resultHeader(job.id(), chunk);
    return entries.stream()
        .filter(e -> e.key().equals(headerKey))
        .findFirst()
        .map(e -> linesOfParts(job, chunk, RecordCodec.fromEntry(e, ResultHeader.class), entries))
        .orElse(List.of());
  }

  private static List<String> linesOfParts(
      Job job, int chunk, ResultHeader header, List<Entry> entries) {
    Set<String> keys =
        IntStream.range(0, header.parts())
            .mapToObj(i -> Keys.resultPart(job.id(), chunk, header.fencing(), i))
            .collect(Collectors.toSet());
    return RecordCodec.decompress(entries.stream().filter(e -> keys.contains(e.key())).toList());
  }

  private static List<String> linesOfKind(List<String> lines, char kind) {
    return lines.stream()
        .filter(l -> !l.isEmpty() && l.charAt(0) == kind)
        .map(l -> l.substring(1))
        .toList();
  }
}
