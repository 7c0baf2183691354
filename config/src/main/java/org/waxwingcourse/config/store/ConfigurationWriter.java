package org.waxwingcourse.config.store;

import io.vavr.control.Either;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Document;
import org.waxwingcourse.policy.configuration.Part;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Changes the configuration by compare-and-swap on its head entry. A write whose response is lost
 * is sent again unchanged: at most one of the attempts can pass the comparison, and a head entry
 * that contains the operation id shows that one of them did.
 */
public final class ConfigurationWriter {
  private static final int MAX_ATTEMPTS = 4;

  private final Store store;

  /** Creates a writer that uses the given store. */
  public ConfigurationWriter(Store store) {
    this.store = store;
  }

  /** Reads the stored configuration as a document. */
  public CompletableFuture<Either<StoreFailure, Document>> read() {
    return store
        .read(KeyRange.ofPrefix(ConfigurationKeys.PREFIX))
        .thenApply(read -> read.map(StoredDocument::configuration));
  }

  /**
   * Replaces the configuration at revision {@code base} with the desired configuration.
   *
   * @param change the author and the reason of the change
   * @param base the revision to replace, {@link Revision#NONE} if no configuration is stored
   * @param desired the new configuration; its revision is ignored
   */
  public CompletableFuture<ApplyOutcome> apply(
      Change change, Revision base, FleetConfiguration desired) {
    return read()
        .thenCompose(
            read -> {
              if (read.isLeft()) {
                String message = read.getLeft().message();
                return completed(new ApplyOutcome.NotWritten(message));
              }
              return apply(change, base, desired, read.get());
            });
  }

  private CompletableFuture<ApplyOutcome> apply(
      Change change, Revision base, FleetConfiguration desired, Document stored) {
    Part head = stored.parts().get(ConfigurationKeys.HEAD);
    if (!stored.revision().equals(base)) {
      return completed(
          outcomeFromHead(change, stored.revision(), head == null ? null : head.content()));
    }
    List<Part> parts = ConfigurationCodec.encode(desired);
    List<Part> changed = parts.stream().filter(p -> differsFromStored(p, stored)).toList();
    if (changed.isEmpty()) {
      return completed(new ApplyOutcome.Unchanged(base));
    }
    List<String> earlierOperations =
        head == null
            ? List.of()
            : ConfigurationHead.parse(head.content())
                .map(ConfigurationHead::operationHistory)
                .getOrElse(List.of());
    ConfigurationHead next = new ConfigurationHead(change, computeDigest(parts), earlierOperations);
    return writeWithRetry(change, buildTransaction(base, changed, next), 1);
  }

  private static Transaction buildTransaction(
      Revision base, List<Part> changed, ConfigurationHead head) {
    Transaction.Builder builder =
        Transaction.builder()
            .unchanged(ConfigurationKeys.HEAD, base)
            .put(ConfigurationKeys.HEAD, head.toBytes());
    changed.forEach(p -> builder.put(p.name(), p.content()));
    return builder.build();
  }

  private CompletableFuture<ApplyOutcome> writeWithRetry(
      Change change, Transaction transaction, int attempt) {
    return store
        .write(transaction)
        .thenCompose(
            outcome -> {
              if (outcome instanceof WriteOutcome.Done d) {
                return completed(new ApplyOutcome.Accepted(d.revision()));
              }
              if (outcome instanceof WriteOutcome.Lost) {
                return resolveLostRace(change);
              }
              if (outcome instanceof WriteOutcome.NotSent n && attempt == 1) {
                return completed(new ApplyOutcome.NotWritten(n.failure().message()));
              }
              if (attempt >= MAX_ATTEMPTS) {
                return completed(new ApplyOutcome.Unknown("the store's response was lost"));
              }
              return writeWithRetry(change, transaction, attempt + 1);
            });
  }

  private CompletableFuture<ApplyOutcome> resolveLostRace(Change change) {
    return store
        .read(KeyRange.ofKey(ConfigurationKeys.HEAD))
        .thenApply(
            read ->
                read.fold(
                    f -> new ApplyOutcome.Unknown(f.message()),
                    s -> outcomeFromSnapshot(change, s)));
  }

  private static ApplyOutcome outcomeFromSnapshot(Change change, Snapshot snapshot) {
    return snapshot
        .first()
        .map((Entry e) -> outcomeFromHead(change, e.modified(), e.value()))
        .orElseGet(() -> new ApplyOutcome.Unknown("the head entry is missing"));
  }

  private static ApplyOutcome outcomeFromHead(Change change, Revision revision, byte[] head) {
    if (head == null) {
      return new ApplyOutcome.NotWritten(
          "no configuration is stored, but a base revision was given");
    }
    Either<String, ConfigurationHead> parsed = ConfigurationHead.parse(head);
    if (parsed.isLeft()) {
      return new ApplyOutcome.NotWritten(parsed.getLeft());
    }
    if (parsed.get().containsOperation(change.operation())) {
      return new ApplyOutcome.Accepted(revision);
    }
    return new ApplyOutcome.LostRace(parsed.get().change(), revision);
  }

  private static boolean differsFromStored(Part part, Document stored) {
    Part storedPart = stored.parts().get(part.name());
    return storedPart == null || !storedPart.hasContentOf(part);
  }

  private static String computeDigest(List<Part> parts) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      SortedMap<String, Part> sorted = new TreeMap<>();
      parts.forEach(p -> sorted.put(p.name(), p));
      sorted.values().forEach(p -> sha256.update(p.content()));
      return HexFormat.of().formatHex(sha256.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private static CompletableFuture<ApplyOutcome> completed(ApplyOutcome outcome) {
    return CompletableFuture.completedFuture(outcome);
  }
}
