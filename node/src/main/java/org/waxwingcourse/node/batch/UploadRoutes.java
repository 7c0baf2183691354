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

/**
 * {@code POST /v1/files}: receives an input file as a multipart form, checked and stored as it
 * arrives.
 */
final class UploadRoutes implements Routes {
  private static final long MAX_FORM_OVERHEAD_BYTES = 1 << 20;
  private static final UploadLimits LIMITS = UploadLimits.STANDARD;

  private final BatchHandlerSupport support;
  private final StoreCalls calls;
  private final InstantSource clock;

  UploadRoutes(BatchHandlerSupport support, StoreCalls calls, InstantSource clock) {
    this.support = support;
    this.calls = calls;
    this.clock = clock;
  }

  @Override
  public void addTo(Chain chain) {
    chain.path(
        "v1/files", context -> context.byMethod(m -> m.post(support.authenticated(this::upload))));
  }

  private void upload(Context context, OrganisationId organisation) {
    String type = context.getRequest().getHeaders().get("Content-Type");
    if (type == null || !type.startsWith("multipart/form-data")) {
      support.sendInvalidRequest(context, "the content type must be multipart/form-data");
      return;
    }
    Either<Refusal, Known> known = support.knownTargets();
    if (known.isLeft()) {
      support.sendError(context, new Outcome.Refused(known.getLeft()));
      return;
    }
    IncomingUpload incomingUpload =
        new IncomingUpload(context, type, target(context, organisation), known.get());
    context
        .getRequest()
        .getBodyStream(LIMITS.bytes() + MAX_FORM_OVERHEAD_BYTES)
        .flatMap(bytes -> Blocking.get(() -> incomingUpload.feed(bytes)))
        .reduce(0L, Long::sum)
        .flatMap(bytes -> Blocking.get(incomingUpload::finish))
        .then(
            result ->
                result
                    .peek(
                        f -> context.getResponse().send("application/json", BatchJson.writeFile(f)))
                    .peekLeft(outcome -> support.sendError(context, outcome)));
  }

  /** Derives the file id from the idempotency key, so that it is the same on every host. */
  private Upload.Target target(Context context, OrganisationId organisation) {
    String upload = UUID.randomUUID().toString();
    String key = context.getRequest().getHeaders().get("Idempotency-Key");
    String name = NewJob.digest(organisation + "\n" + (key == null ? upload : "key " + key));
    FileId file = FileId.of("file_" + organisation + "_" + name);
    return new Upload.Target(file, organisation, "", upload);
  }

  /** One upload from its first byte to its response. */
  private final class IncomingUpload {
    private final Context context;
    private final MultipartFileReader form;
    private final Upload upload;

    IncomingUpload(Context context, String type, Upload.Target target, Known known) {
      this.context = context;
      this.upload = new Upload(calls, clock, target, known, LIMITS);
      this.form = new MultipartFileReader(type, bytes -> upload.write(bytes, 0, bytes.length));
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
      form.finish();
      try {
        if (!"batch".equals(form.field("purpose"))) {
          return rejected("\"purpose\" must be \"batch\"");
        }
        if (form.filename().isEmpty()) {
          return rejected("the form has no \"file\" part");
        }
        Either<Refusal, OrganisationId> key = support.recheckKey(context);
        if (key.isLeft()) {
          return Either.left(new Outcome.Refused(key.getLeft()));
        }
        upload.named(form.filename());
        return upload.finish();
      } finally {
        form.close();
      }
    }

    private Either<Outcome, BatchFile> rejected(String message) {
      return Either.left(
          new Outcome.Refused(new Refusal(RefusalCode.INVALID_REQUEST, message, Instant.EPOCH)));
    }
  }
}
