package org.waxwingcourse.node.batch;

import io.netty.buffer.ByteBuf;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.UUID;
import org.waxwingcourse.batch.intake.Known;
import org.waxwingcourse.batch.intake.Upload;
import org.waxwingcourse.batch.intake.UploadLimits;
import org.waxwingcourse.batch.job.NewJob;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import ratpack.exec.Blocking;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** {@code POST /v1/files}: an input file as a multipart form, checked and stored as it arrives. */
final class UploadRoutes implements Routes {
  private static final long FORM_BYTES = 1 << 20;
  private static final UploadLimits LIMITS = UploadLimits.STANDARD;

  private final BatchGate gate;
  private final StoreCalls calls;
  private final InstantSource clock;

  UploadRoutes(BatchGate gate, StoreCalls calls, InstantSource clock) {
    this.gate = gate;
    this.calls = calls;
    this.clock = clock;
  }

  @Override
  public void addTo(Chain chain) {
    chain.path("v1/files", context -> context.byMethod(m -> m.post(gate.keyed(this::upload))));
  }

  private void upload(Context context, OrganisationId organisation) {
    String type = context.getRequest().getHeaders().get("Content-Type");
    if (type == null || !type.startsWith("multipart/form-data")) {
      gate.invalid(context, "send the file as multipart/form-data");
      return;
    }
    Either<Refusal, Known> known = gate.known();
    if (known.isLeft()) {
      gate.fail(context, new Outcome.Refused(known.getLeft()));
      return;
    }
    Intake intake = new Intake(context, type, target(context, organisation), known.get());
    context
        .getRequest()
        .getBodyStream(LIMITS.bytes() + FORM_BYTES)
        .flatMap(bytes -> Blocking.get(() -> intake.feed(bytes)))
        .reduce(0L, Long::sum)
        .flatMap(bytes -> Blocking.get(intake::finish))
        .then(
            result ->
                result
                    .peek(f -> context.getResponse().send("application/json", BatchJson.file(f)))
                    .peekLeft(outcome -> gate.fail(context, outcome)));
  }

  /** The same key names the same file, on every host. */
  private Upload.Target target(Context context, OrganisationId organisation) {
    String upload = UUID.randomUUID().toString();
    String key = context.getRequest().getHeaders().get("Idempotency-Key");
    String name = NewJob.digest(organisation + "\n" + (key == null ? upload : "key " + key));
    FileId file = FileId.of("file_" + organisation + "_" + name);
    return new Upload.Target(file, organisation, "", upload);
  }

  /** One upload from its first byte to its answer. */
  private final class Intake {
    private final Context context;
    private final MultipartFile form;
    private final Upload upload;

    Intake(Context context, String type, Upload.Target target, Known known) {
      this.context = context;
      this.upload = new Upload(calls, clock, target, known, LIMITS);
      this.form = new MultipartFile(type, bytes -> upload.write(bytes, 0, bytes.length));
    }

    long feed(ByteBuf bytes) throws IOException {
      try {
        long length = bytes.readableBytes();
        form.feed(bytes);
        return length;
      } finally {
        bytes.release();
      }
    }

    Either<Outcome, BatchFile> finish() throws IOException {
      form.end();
      try {
        if (!"batch".equals(form.field("purpose"))) {
          return refused("\"purpose\" must be \"batch\"");
        }
        if (form.filename().isEmpty()) {
          return refused("no \"file\" came with the form");
        }
        Either<Refusal, OrganisationId> key = gate.still(context);
        if (key.isLeft()) {
          return Either.left(new Outcome.Refused(key.getLeft()));
        }
        upload.named(form.filename());
        return upload.finish();
      } finally {
        form.close();
      }
    }

    private Either<Outcome, BatchFile> refused(String message) {
      return Either.left(
          new Outcome.Refused(new Refusal(RefusalCode.INVALID_REQUEST, message, Instant.EPOCH)));
    }
  }
}
