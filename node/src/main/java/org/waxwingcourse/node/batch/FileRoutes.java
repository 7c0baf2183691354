package org.waxwingcourse.node.batch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntFunction;
import org.reactivestreams.Publisher;
import org.waxwingcourse.batch.job.Jobs;
import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.BatchFile;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.id.FileId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.store.StoreFailure;
import ratpack.exec.Blocking;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.stream.Streams;

/** {@code GET /v1/files/<id>} and its {@code /content}: input, output and error files. */
final class FileRoutes implements Routes {
  private static final String ID = "id";
  private static final String JSON_LINES = "application/jsonl";

  private final BatchGate gate;
  private final Jobs jobs;
  private final Results results;

  FileRoutes(BatchGate gate, Jobs jobs, Results results) {
    this.gate = gate;
    this.jobs = jobs;
    this.results = results;
  }

  /** Reads one chunk of a file. */
  private interface ChunkSource extends IntFunction<Either<StoreFailure, List<String>>> {}

  @Override
  public void addTo(Chain chain) {
    chain.get("v1/files/:" + ID, gate.keyed(this::show));
    chain.get("v1/files/:" + ID + "/content", gate.keyed(this::content));
  }

  private void show(Context context, OrganisationId organisation) {
    String id = context.getPathTokens().get(ID);
    if (ResultFile.isResult(id)) {
      gate.answer(context, () -> job(organisation, id), j -> BatchJson.resultFile(id, j));
    } else {
      gate.answer(context, () -> jobs.file(organisation, FileId.of(id)), BatchJson::file);
    }
  }

  private void content(Context context, OrganisationId organisation) {
    String id = context.getPathTokens().get(ID);
    if (ResultFile.isResult(id)) {
      gate.ask(context, () -> job(organisation, id), job -> sendResults(context, id, job));
    } else {
      gate.ask(
          context, () -> jobs.file(organisation, FileId.of(id)), file -> sendInput(context, file));
    }
  }

  private Either<Outcome, Job> job(OrganisationId organisation, String id) {
    JobId job = ResultFile.job(id);
    return Keys.owner(id).equals(organisation)
        ? jobs.find(job).map(StoredJob::job)
        : BatchGate.notFound("file", id);
  }

  private void sendResults(Context context, String id, Job job) {
    char kind = ResultFile.kind(id);
    send(context, job.input().chunks(), n -> results.chunk(job, n, kind));
  }

  private void sendInput(Context context, BatchFile file) {
    send(context, file.input().chunks(), n -> results.input(file.id(), file.input(), n));
  }

  private void send(Context context, int chunks, ChunkSource source) {
    Publisher<ByteBuf> body =
        Streams.flatYield(
            request ->
                Blocking.get(() -> next(context, (int) request.getRequestNum(), chunks, source)));
    context.getResponse().contentType(JSON_LINES);
    context.getResponse().sendStream(body);
  }

  /** Returns a chunk's lines, null at the end; a failure cuts the connection, so that it shows. */
  private ByteBuf next(Context context, int n, int chunks, ChunkSource source) {
    if (n >= chunks) {
      return null;
    }
    if (gate.still(context).isLeft()) {
      throw new IllegalStateException("the caller's key works no more");
    }
    List<String> lines =
        source
            .apply(n)
            .getOrElseThrow(f -> new IllegalStateException("the store failed: " + f.message()));
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> text.append(line).append('\n'));
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
