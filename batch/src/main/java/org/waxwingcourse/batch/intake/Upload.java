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
import org.waxwingcourse.batch.record.ExpiryEntry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.RecordCodec;
import org.waxwingcourse.batch.store.StoreClient;
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
 * The upload of one input file. Lines are validated as they arrive and stored in chunks under the
 * upload's own id. The file is accepted only when {@link #finish} has stored its record. Not
 * thread-safe.
 */
public final class Upload {
  private static final Duration FILE_RETENTION = Duration.ofDays(30);
  private static final Duration ABANDONED_UPLOAD_RETENTION = Duration.ofDays(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(30);

  private final StoreClient storeClient;
  private final InstantSource clock;
  private FileInfo fileInfo;
  private final DeclaredTargets declaredTargets;
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
  private Option<Outcome> failure = Option.none();

  /**
   * The file that is uploaded.
   *
   * @param file the file's id
   * @param organisation the organisation that uploads the file
   * @param name the file name given by the caller
   * @param upload unique id of this attempt to upload the file
   */
  public record FileInfo(FileId file, OrganisationId organisation, String name, String upload) {}

  /**
   * Creates an upload without data; {@code declaredTargets} holds the declared models and services.
   */
  public Upload(
      StoreClient storeClient,
      InstantSource clock,
      FileInfo fileInfo,
      DeclaredTargets declaredTargets,
      UploadLimits limits) {
    this.storeClient = storeClient;
    this.clock = clock;
    this.fileInfo = fileInfo;
    this.declaredTargets = declaredTargets;
    this.limits = limits;
  }

  /** Processes the next bytes. Returns the failure if the upload was rejected, or none. */
  public Option<Outcome> write(byte[] data, int offset, int length) {
    int start = offset;
    for (int i = offset; i < offset + length && failure.isEmpty(); i++) {
      if (data[i] == '\n') {
        line.write(data, start, i - start);
        start = i + 1;
        addLine();
      }
    }
    if (failure.isEmpty()) {
      line.write(data, start, offset + length - start);
      bytes += length;
      checkSize();
    }
    return failure;
  }

  /** Sets the file name given by the caller, which may arrive after the file's bytes. */
  public void setFileName(String name) {
    fileInfo = new FileInfo(fileInfo.file(), fileInfo.organisation(), name, fileInfo.upload());
  }

  /**
   * Stores the last chunk and the file's record. The file is accepted only if this method returns
   * it.
   */
  public Either<Outcome, BatchFile> finish() {
    if (failure.isEmpty() && line.size() > 0) {
      addLine();
    }
    if (failure.isEmpty() && customIds.isEmpty()) {
      reject("the file has no lines");
    }
    if (failure.isEmpty()) {
      storeChunk();
    }
    return failure.isDefined() ? Either.left(failure.get()) : storeFileRecord();
  }

  private void checkSize() {
    if (bytes > limits.maxBytes()) {
      lineNumber++;
      reject("line " + lineNumber + ": the file exceeds " + limits.maxBytes() + " bytes");
    } else if (line.size() > limits.maxChunkBytes()) {
      lineNumber++;
      reject("line " + lineNumber + ": exceeds " + limits.maxChunkBytes() + " bytes");
    }
  }

  private void addLine() {
    lineNumber++;
    String text = line.toString(StandardCharsets.UTF_8).strip();
    int size = line.size();
    line.reset();
    if (text.isEmpty()) {
      return;
    }
    Either<String, BatchItem> item = BatchItemParser.read(text).flatMap(i -> validate(i, size));
    if (item.isLeft()) {
      reject("line " + lineNumber + ": " + item.getLeft());
      return;
    }
    if (item.get().target() instanceof BatchItem.Model model) {
      models.add(model.name());
    }
    endpoints.add(item.get().endpoint());
    if (chunk.size() == limits.maxChunkItems() || chunkBytes + size > limits.maxChunkBytes()) {
      storeChunk();
    }
    chunk.add(text);
    chunkBytes += size;
  }

  private Either<String, BatchItem> validate(BatchItem item, int size) {
    if (size > limits.maxChunkBytes()) {
      return Either.left("exceeds " + limits.maxChunkBytes() + " bytes");
    }
    Option<String> problem = declaredTargets.findProblem(item.target());
    if (problem.isDefined()) {
      return Either.left(problem.get());
    }
    if (!customIds.add(item.customId())) {
      return Either.left(
          "custom_id \"" + item.customId() + "\" is already used on an earlier line");
    }
    return customIds.size() > limits.maxItems()
        ? Either.left("the file exceeds " + limits.maxItems() + " lines")
        : Either.right(item);
  }

  private void storeChunk() {
    Transaction.Builder write = Transaction.builder();
    if (chunks == 0) {
      write.put(uploadExpiryKey(), RecordCodec.toJson(expiryEntry(ExpiryEntry.Kind.UPLOAD)));
    }
    String key = Keys.inputChunk(fileInfo.file(), fileInfo.upload(), chunks);
    Transaction put = write.put(key, RecordCodec.compress(chunk)).build();
    WriteOutcome outcome = storeClient.write(put, e -> false);
    if (outcome instanceof WriteOutcome.Done) {
      chunks++;
      chunk.clear();
      chunkBytes = 0;
    } else {
      failure = Option.some(unavailable("the store did not accept the file"));
    }
  }

  private String uploadExpiryKey() {
    Deadline end = Deadline.after(clock, ABANDONED_UPLOAD_RETENTION);
    return Keys.expiryEntry(
        end, ExpiryEntry.Kind.UPLOAD, fileInfo.file() + "." + fileInfo.upload());
  }

  private ExpiryEntry expiryEntry(ExpiryEntry.Kind kind) {
    return new ExpiryEntry(kind, fileInfo.file().value(), inputRef());
  }

  private Job.InputRef inputRef() {
    return new Job.InputRef(fileInfo.upload(), chunks, customIds.size());
  }

  private Either<Outcome, BatchFile> storeFileRecord() {
    BatchFile file =
        new BatchFile(
            fileInfo.file(),
            fileInfo.organisation(),
            fileInfo.name(),
            bytes,
            inputRef(),
            models,
            endpoints,
            clock.instant(),
            Deadline.after(clock, FILE_RETENTION),
            fileInfo.upload());
    String key = Keys.file(file.id());
    Transaction create =
        Transaction.builder()
            .requireAbsent(key)
            .put(key, RecordCodec.toJson(file))
            .put(
                Keys.expiryEntry(file.expires(), ExpiryEntry.Kind.FILE, file.id().value()),
                RecordCodec.toJson(expiryEntry(ExpiryEntry.Kind.FILE)))
            .build();
    WriteOutcome outcome = storeClient.write(create, e -> e.key().equals(key) && isOwnRecord(e));
    if (outcome instanceof WriteOutcome.Done) {
      return Either.right(file);
    }
    if (outcome instanceof WriteOutcome.Lost lost && !lost.current().isEmpty()) {
      return Either.right(RecordCodec.fromEntry(lost.current().get(0), BatchFile.class));
    }
    return Either.left(
        outcome instanceof WriteOutcome.Unknown
            ? new Outcome.Unknown("the file may have been stored; send it again")
            : unavailable("the store did not accept the file"));
  }

  private boolean isOwnRecord(Entry entry) {
    return RecordCodec.fromEntry(entry, BatchFile.class).input().upload().equals(fileInfo.upload());
  }

  private void reject(String message) {
    Refusal refusal = new Refusal(RefusalCode.INVALID_REQUEST, message, clock.instant());
    failure = Option.some(new Outcome.Refused(refusal));
  }

  private Outcome unavailable(String message) {
    return new Outcome.Refused(
        new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(RETRY_AFTER)));
  }
}
