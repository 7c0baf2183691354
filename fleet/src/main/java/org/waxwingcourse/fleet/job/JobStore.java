package org.waxwingcourse.fleet.job;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.view.StoreKeys;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.fleet.JobItem;
import org.waxwingcourse.wire.fleet.JobItems;
import org.waxwingcourse.wire.fleet.JobRecord;
import org.waxwingcourse.wire.fleet.JobResult;
import org.waxwingcourse.wire.fleet.JobResults;

/**
 * Reads and writes the entries of jobs. A call that throws ends as a failed future, which callers
 * handle like one that fails later.
 */
final class JobStore {
  private final Store store;

  JobStore(Store store) {
    this.store = store;
  }

  /**
   * A job's record with the revision that wrote it.
   *
   * @param record the record
   * @param revision the revision to compare with in the next compare-and-swap
   */
  record StoredRecord(JobRecord record, Revision revision) {
    boolean belongsTo(OrganisationId organisation) {
      return record.getOrganisation().equals(organisation.value());
    }
  }

  /** Returns the largest value in bytes that the store takes. */
  int maxValueBytes() {
    return store.maxValueBytes();
  }

  /** Reads a job's record, none if there is no such job. */
  CompletableFuture<Either<StoreFailure, Option<StoredRecord>>> readRecord(JobId job) {
    return read(KeyRange.ofKey(StoreKeys.jobKey(job)))
        .thenApply(answer -> answer.flatMap(s -> firstRecord(s)));
  }

  /** Reads all items of a job, in order. */
  CompletableFuture<Either<StoreFailure, List<JobItem>>> readItems(JobId job) {
    return readParts(StoreKeys.itemsKey(job, 0), JobItems.parser())
        .thenApply(
            answer ->
                answer.map(
                    parts -> parts.stream().flatMap(p -> p.getItemsList().stream()).toList()));
  }

  /** Reads all results of a job, by position. */
  CompletableFuture<Either<StoreFailure, List<JobResult>>> readResults(JobId job) {
    return readParts(StoreKeys.resultsKey(job, 0), JobResults.parser())
        .thenApply(
            answer ->
                answer.map(
                    parts -> parts.stream().flatMap(p -> p.getResultsList().stream()).toList()));
  }

  CompletableFuture<WriteOutcome> write(Transaction transaction) {
    return call(() -> store.write(transaction));
  }

  CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
    return call(() -> store.read(range));
  }

  private static <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> sent) {
    return Try.ofSupplier(sent).getOrElseGet(CompletableFuture::failedFuture);
  }

  static Either<StoreFailure, StoredRecord> parseRecord(Entry entry) {
    return parseMessage(entry, JobRecord.parser()).map(r -> new StoredRecord(r, entry.modified()));
  }

  static <M extends Message> Either<StoreFailure, M> parseMessage(Entry entry, Parser<M> parser) {
    try {
      return Either.right(parser.parseFrom(entry.value()));
    } catch (InvalidProtocolBufferException e) {
      String message = "entry \"" + entry.key() + "\" cannot be read: " + e.getMessage();
      return Either.left(new StoreFailure(StoreFailure.Kind.MALFORMED, message));
    }
  }

  private static Either<StoreFailure, Option<StoredRecord>> firstRecord(Snapshot snapshot) {
    return snapshot.firstEntry().isEmpty()
        ? Either.right(Option.none())
        : parseRecord(snapshot.firstEntry().get()).map(Option::some);
  }

  private <M extends Message> CompletableFuture<Either<StoreFailure, List<M>>> readParts(
      String firstKey, Parser<M> parser) {
    String prefix = firstKey.substring(0, firstKey.lastIndexOf('/') + 1);
    return read(KeyRange.ofPrefix(prefix))
        .thenApply(answer -> answer.flatMap(s -> parseInOrder(s, prefix, parser)));
  }

  /** Parses the parts of a job in their order; a key that ends with no number names no part. */
  private static <M extends Message> Either<StoreFailure, List<M>> parseInOrder(
      Snapshot snapshot, String prefix, Parser<M> parser) {
    SortedMap<Integer, Entry> ordered = new TreeMap<>();
    for (Entry entry : snapshot.entries()) {
      Try.of(() -> Integer.parseInt(entry.key().substring(prefix.length())))
          .forEach(number -> ordered.put(number, entry));
    }
    List<M> parts = new ArrayList<>();
    for (Entry entry : ordered.values()) {
      Either<StoreFailure, M> part = parseMessage(entry, parser);
      if (part.isLeft()) {
        return Either.left(part.getLeft());
      }
      parts.add(part.get());
    }
    return Either.right(parts);
  }
}
