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

  private final BatchHandlerSupport support;
  private final Jobs jobs;
  private final Results results;

  FileRoutes(BatchHandlerSupport support, Jobs jobs, Results results) {
    this.support = support;
    this.jobs = jobs;
    this.results = results;
  }

  /** Reads one chunk of a file. */
  private interface ChunkSource extends IntFunction<Either<StoreFailure, List<String>>> {}

  @Override
  public void addTo(Chain chain) {
    chain.get("v1/files/:" + ID, support.authenticated(this::show));
    chain.get("v1/files/:" + ID + "/content", support.authenticated(this::content));
  }

  private void show(Context context, OrganisationId organisation) {
    String id = context.getPathTokens().get(ID);
    if (ResultFileIds.isResultFile(id)) {
      support.respondJson(
          context, () -> findJob(organisation, id), j -> BatchJson.writeResultFile(id, j));
    } else {
      support.respondJson(
          context, () -> jobs.file(organisation, FileId.of(id)), BatchJson::writeFile);
    }
  }

  private void content(Context context, OrganisationId organisation) {
    String id = context.getPathTokens().get(ID);
    if (ResultFileIds.isResultFile(id)) {
      support.runBlocking(
          context, () -> findJob(organisation, id), job -> sendResults(context, id, job));
    } else {
      support.runBlocking(
          context, () -> jobs.file(organisation, FileId.of(id)), file -> sendInput(context, file));
    }
  }

  private Either<Outcome, Job> findJob(OrganisationId organisation, String id) {
    JobId job = ResultFileIds.jobOf(id);
    return Keys.owner(id).equals(organisation)
        ? jobs.find(job).map(StoredJob::job)
        : BatchHandlerSupport.notFound("file", id);
  }

  private void sendResults(Context context, String id, Job job) {
    char kind = ResultFileIds.kindOf(id);
    sendChunks(context, job.input().chunks(), n -> results.chunk(job, n, kind));
  }

  private void sendInput(Context context, BatchFile file) {
    sendChunks(context, file.input().chunks(), n -> results.input(file.id(), file.input(), n));
  }

  private void sendChunks(Context context, int chunks, ChunkSource source) {
    Publisher<ByteBuf> body =
        Streams.flatYield(
            request ->
                Blocking.get(
                    () -> readChunk(context, (int) request.getRequestNum(), chunks, source)));
    context.getResponse().contentType(JSON_LINES);
    context.getResponse().sendStream(body);
  }

  /**
   * Returns the lines of a chunk, null at the end. A failure closes the connection, so that the
   * caller recognizes that the file is incomplete.
   */
  private ByteBuf readChunk(Context context, int n, int chunks, ChunkSource source) {
    if (n >= chunks) {
      return null;
    }
    if (support.recheckKey(context).isLeft()) {
      throw new IllegalStateException("the caller's key is no longer valid");
    }
    List<String> lines =
        source
            .apply(n)
            .getOrElseThrow(
                f -> new IllegalStateException("reading from the store failed: " + f.message()));
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> text.append(line).append('\n'));
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
