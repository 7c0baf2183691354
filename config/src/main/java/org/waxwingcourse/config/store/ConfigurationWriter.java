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
 * Changes the configuration by compare-and-swap on its head entry. A write whose answer is lost is
 * sent again unchanged: at most one of the attempts can pass the comparison, and a head that
 * carries our operation id shows that one did.
 */
public final class ConfigurationWriter {
  private static final int MAX_ATTEMPTS = 4;

  private final Store store;

  /** Creates a writer to the store. */
  public ConfigurationWriter(Store store) {
    this.store = store;
  }

  /** Reads the configuration that is stored, as a document. */
  public CompletableFuture<Either<StoreFailure, Document>> read() {
    return store
        .read(KeyRange.ofPrefix(ConfigurationKeys.PREFIX))
        .thenApply(read -> read.map(StoredDocument::configuration));
  }

  /**
   * Puts the wanted configuration in the place of the one at {@code base}.
   *
   * @param change who and why
   * @param base the revision that the operator compared with, {@link Revision#NONE} for the first
   * @param wanted the configuration; its revision is not used
   */
  public CompletableFuture<ApplyOutcome> apply(
      Change change, Revision base, FleetConfiguration wanted) {
    return read()
        .thenCompose(
            read -> {
              if (read.isLeft()) {
                String message = read.getLeft().message();
                return done(new ApplyOutcome.NotWritten(message));
              }
              return apply(change, base, wanted, read.get());
            });
  }

  private CompletableFuture<ApplyOutcome> apply(
      Change change, Revision base, FleetConfiguration wanted, Document stored) {
    Part head = stored.parts().get(ConfigurationKeys.HEAD);
    if (!stored.revision().equals(base)) {
      return done(judge(change, stored.revision(), head == null ? null : head.content()));
    }
    List<Part> parts = ConfigurationCodec.encode(wanted);
    List<Part> changed = parts.stream().filter(p -> differs(p, stored)).toList();
    if (changed.isEmpty()) {
      return done(new ApplyOutcome.Unchanged(base));
    }
    List<String> earlier =
        head == null
            ? List.of()
            : Head.parse(head.content()).map(Head::history).getOrElse(List.of());
    Head next = new Head(change, digest(parts), earlier);
    return write(change, transaction(base, changed, next), 1);
  }

  private static Transaction transaction(Revision base, List<Part> changed, Head head) {
    Transaction.Builder builder =
        Transaction.builder()
            .unchanged(ConfigurationKeys.HEAD, base)
            .put(ConfigurationKeys.HEAD, head.toBytes());
    changed.forEach(p -> builder.put(p.name(), p.content()));
    return builder.build();
  }

  private CompletableFuture<ApplyOutcome> write(
      Change change, Transaction transaction, int attempt) {
    return store
        .write(transaction)
        .thenCompose(
            outcome -> {
              if (outcome instanceof WriteOutcome.Done d) {
                return done(new ApplyOutcome.Accepted(d.revision()));
              }
              if (outcome instanceof WriteOutcome.Lost) {
                return settle(change);
              }
              if (outcome instanceof WriteOutcome.NotSent n && attempt == 1) {
                return done(new ApplyOutcome.NotWritten(n.failure().message()));
              }
              if (attempt >= MAX_ATTEMPTS) {
                return done(new ApplyOutcome.Unknown("the store's answer was lost"));
              }
              return write(change, transaction, attempt + 1);
            });
  }

  private CompletableFuture<ApplyOutcome> settle(Change change) {
    return store
        .read(KeyRange.ofKey(ConfigurationKeys.HEAD))
        .thenApply(
            read ->
                read.fold(
                    f -> new ApplyOutcome.Unknown(f.message()), s -> judgeSnapshot(change, s)));
  }

  private static ApplyOutcome judgeSnapshot(Change change, Snapshot snapshot) {
    return snapshot
        .first()
        .map((Entry e) -> judge(change, e.modified(), e.value()))
        .orElseGet(() -> new ApplyOutcome.Unknown("the head entry has vanished"));
  }

  private static ApplyOutcome judge(Change change, Revision revision, byte[] head) {
    if (head == null) {
      return new ApplyOutcome.NotWritten("nothing is stored, but a base revision was given");
    }
    Either<String, Head> parsed = Head.parse(head);
    if (parsed.isLeft()) {
      return new ApplyOutcome.NotWritten(parsed.getLeft());
    }
    if (parsed.get().includes(change.operation())) {
      return new ApplyOutcome.Accepted(revision);
    }
    return new ApplyOutcome.LostRace(parsed.get().change(), revision);
  }

  private static boolean differs(Part part, Document stored) {
    Part old = stored.parts().get(part.name());
    return old == null || !old.hasContentOf(part);
  }

  private static String digest(List<Part> parts) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      SortedMap<String, Part> sorted = new TreeMap<>();
      parts.forEach(p -> sorted.put(p.name(), p));
      sorted.values().forEach(p -> sha.update(p.content()));
      return HexFormat.of().formatHex(sha.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private static CompletableFuture<ApplyOutcome> done(ApplyOutcome outcome) {
    return CompletableFuture.completedFuture(outcome);
  }
}
