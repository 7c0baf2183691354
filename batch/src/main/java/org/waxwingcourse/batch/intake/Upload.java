package org.waxwingcourse.batch.intake;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Expiry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * One file on its way in. Lines are checked as they come and stored chunk by chunk under a name of
 * the upload's own; nothing is accepted until {@link #finish} has stored the file's record. Used by
 * one thread at a time.
 */
public final class Upload {
  private static final Duration KEPT = Duration.ofDays(30);
  private static final Duration ABANDONED = Duration.ofDays(1);
  private static final Duration COME_BACK = Duration.ofSeconds(30);

  private final StoreCalls calls;
  private final InstantSource clock;
  private Target target;
  private final Known known;
  private final UploadLimits limits;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final List<String> chunk = new ArrayList<>();
  private final Set<String> customIds = new HashSet<>();
  private final Set<ModelName> models = new HashSet<>();
  private final Set<String> endpoints = new HashSet<>();
  private int chunkBytes;
  private int chunks;
  private int lineNumber;
  private long bytes;
  private Option<Outcome> ended = Option.none();

  /**
   * What is being stored.
   *
   * @param file the file's id
   * @param organisation who sends it
   * @param name the caller's name for it
   * @param upload unique name of this try to send it
   */
  public record Target(FileId file, OrganisationId organisation, String name, String upload) {}

  /** Creates an upload of which nothing has arrived; {@code known} is what is declared. */
  public Upload(
      StoreCalls calls, InstantSource clock, Target target, Known known, UploadLimits limits) {
    this.calls = calls;
    this.clock = clock;
    this.target = target;
    this.known = known;
    this.limits = limits;
  }

  /** Takes the next bytes; returns how the upload ended if it was refused. */
  public Option<Outcome> write(byte[] data, int offset, int length) {
    int start = offset;
    for (int i = offset; i < offset + length && ended.isEmpty(); i++) {
      if (data[i] == '\n') {
        line.write(data, start, i - start);
        start = i + 1;
        endLine();
      }
    }
    if (ended.isEmpty()) {
      line.write(data, start, offset + length - start);
      bytes += length;
      checkSize();
    }
    return ended;
  }

  /** Gives the caller's name for the file, which may come after its bytes. */
  public void named(String name) {
    target = new Target(target.file(), target.organisation(), name, target.upload());
  }

  /** Stores the file's record; until this returns the file nothing was accepted. */
  public Either<Outcome, BatchFile> finish() {
    if (ended.isEmpty() && line.size() > 0) {
      endLine();
    }
    if (ended.isEmpty() && customIds.isEmpty()) {
      refuse("the file has no lines");
    }
    if (ended.isEmpty()) {
      flush();
    }
    return ended.isDefined() ? Either.left(ended.get()) : store();
  }

  private void checkSize() {
    if (bytes > limits.bytes()) {
      lineNumber++;
      refuse("line " + lineNumber + ": the file exceeds " + limits.bytes() + " bytes");
    } else if (line.size() > limits.chunkBytes()) {
      lineNumber++;
      refuse("line " + lineNumber + ": exceeds " + limits.chunkBytes() + " bytes");
    }
  }

  private void endLine() {
    lineNumber++;
    String text = line.toString(StandardCharsets.UTF_8).strip();
    int size = line.size();
    line.reset();
    if (text.isEmpty()) {
      return;
    }
    Either<String, BatchItem> item = LineReader.read(text).flatMap(i -> checked(i, size));
    if (item.isLeft()) {
      refuse("line " + lineNumber + ": " + item.getLeft());
      return;
    }
    if (item.get().target() instanceof BatchItem.Model model) {
      models.add(model.name());
    }
    endpoints.add(item.get().endpoint());
    if (chunk.size() == limits.chunkItems() || chunkBytes + size > limits.chunkBytes()) {
      flush();
    }
    chunk.add(text);
    chunkBytes += size;
  }

  private Either<String, BatchItem> checked(BatchItem item, int size) {
    if (size > limits.chunkBytes()) {
      return Either.left("exceeds " + limits.chunkBytes() + " bytes");
    }
    Option<String> fault = known.fault(item.target());
    if (fault.isDefined()) {
      return Either.left(fault.get());
    }
    if (!customIds.add(item.customId())) {
      return Either.left("custom_id \"" + item.customId() + "\" stands on an earlier line too");
    }
    return customIds.size() > limits.items()
        ? Either.left("the file exceeds " + limits.items() + " lines")
        : Either.right(item);
  }

  private void flush() {
    Transaction.Builder write = Transaction.builder();
    if (chunks == 0) {
      write.put(abandonedKey(), Codec.json(expiry(Expiry.Kind.UPLOAD)));
    }
    String key = Keys.input(target.file(), target.upload(), chunks);
    Transaction put = write.put(key, Codec.pack(chunk)).build();
    WriteOutcome outcome = calls.write(put, e -> false);
    if (outcome instanceof WriteOutcome.Done) {
      chunks++;
      chunk.clear();
      chunkBytes = 0;
    } else {
      ended = Option.some(notRun("the store does not take the file"));
    }
  }

  private String abandonedKey() {
    Deadline end = Deadline.after(clock, ABANDONED);
    return Keys.expiry(end, Expiry.Kind.UPLOAD, target.file() + "." + target.upload());
  }

  private Expiry expiry(Expiry.Kind kind) {
    return new Expiry(kind, target.file().value(), input());
  }

  private Job.InputRef input() {
    return new Job.InputRef(target.upload(), chunks, customIds.size());
  }

  private Either<Outcome, BatchFile> store() {
    BatchFile file =
        new BatchFile(
            target.file(),
            target.organisation(),
            target.name(),
            bytes,
            input(),
            models,
            endpoints,
            clock.instant(),
            Deadline.after(clock, KEPT),
            target.upload());
    String key = Keys.file(file.id());
    Transaction create =
        Transaction.builder()
            .absent(key)
            .put(key, Codec.json(file))
            .put(
                Keys.expiry(file.expires(), Expiry.Kind.FILE, file.id().value()),
                Codec.json(expiry(Expiry.Kind.FILE)))
            .build();
    WriteOutcome outcome = calls.write(create, e -> e.key().equals(key) && isOurs(e));
    if (outcome instanceof WriteOutcome.Done) {
      return Either.right(file);
    }
    if (outcome instanceof WriteOutcome.Lost lost && !lost.current().isEmpty()) {
      return Either.right(Codec.read(lost.current().get(0), BatchFile.class));
    }
    return Either.left(
        outcome instanceof WriteOutcome.Unknown
            ? new Outcome.Unknown("the file may have been stored; send it again")
            : notRun("the store does not take the file"));
  }

  private boolean isOurs(Entry entry) {
    return Codec.read(entry, BatchFile.class).input().upload().equals(target.upload());
  }

  private void refuse(String message) {
    Refusal refusal = new Refusal(RefusalCode.INVALID_REQUEST, message, clock.instant());
    ended = Option.some(new Outcome.Refused(refusal));
  }

  private Outcome notRun(String message) {
    return new Outcome.Refused(
        new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(COME_BACK)));
  }
}
