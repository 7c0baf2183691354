package org.waxwingcourse.node.batch;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.waxwingcourse.batch.intake.LineReader;
import org.waxwingcourse.batch.job.ChunkStates;
import org.waxwingcourse.batch.job.Jobs;
import org.waxwingcourse.batch.job.NewJob;
import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.store.Pause;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.node.web.CallerPorts;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** {@code /v1/batches}: creates, reads, lists and cancels batch jobs. */
final class JobRoutes implements Routes {
  private static final String ID = "id";
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int DEFAULT_PAGE_SIZE = 20;
  private static final int MAX_PAGE_SIZE = 100;

  private final BatchHandlerSupport support;
  private final Jobs jobs;
  private final CallerPorts ports;
  private final InstantSource clock;
  private final Pause pause;

  JobRoutes(BatchHandlerSupport support, Jobs jobs, CallerPorts ports, Pause pause) {
    this.support = support;
    this.jobs = jobs;
    this.ports = ports;
    this.clock = ports.clock();
    this.pause = pause;
  }

  @Override
  public void addTo(Chain chain) {
    chain.path(
        "v1/batches",
        context ->
            context.byMethod(
                m ->
                    m.post(support.authenticated(this::create))
                        .get(support.authenticated(this::list))));
    chain.get("v1/batches/:" + ID, support.authenticated(this::show));
    chain.post("v1/batches/:" + ID + "/cancel", support.authenticated(this::cancel));
  }

  private void create(Context context, OrganisationId organisation) {
    Optional<String> key =
        Optional.ofNullable(context.getRequest().getHeaders().get("Idempotency-Key"));
    context
        .getRequest()
        .getBody(MAX_BODY_BYTES, () -> support.sendInvalidRequest(context, "the body is too large"))
        .then(
            body ->
                BatchJson.parseSpec(body.getText())
                    .peekLeft(message -> support.sendInvalidRequest(context, message))
                    .peek(
                        spec ->
                            create(
                                context,
                                new NewJob(
                                    organisation, spec, key, mustRunAtMostOnce(spec.endpoint())))));
  }

  private boolean mustRunAtMostOnce(String endpoint) {
    return endpoint.startsWith(LineReader.SERVICES)
        && BatchItemSender.findService(
                ports, ServiceName.of(endpoint.substring(LineReader.SERVICES.length())))
            .exists(service -> !service.repeatable());
  }

  private void create(Context context, NewJob request) {
    support.respondJson(
        context, () -> jobs.create(request).flatMap(this::view), BatchJson::writeJob);
  }

  private void show(Context context, OrganisationId organisation) {
    support.respondJson(
        context, () -> find(context, organisation).flatMap(this::view), BatchJson::writeJob);
  }

  private void cancel(Context context, OrganisationId organisation) {
    Deadline deadline = Deadline.after(clock, CANCEL_TIMEOUT);
    support.respondJson(
        context,
        () ->
            find(context, organisation)
                .flatMap(job -> jobs.cancel(job.id(), deadline, pause))
                .flatMap(this::view),
        BatchJson::writeJob);
  }

  private void list(Context context, OrganisationId organisation) {
    String after = context.getRequest().getQueryParams().getOrDefault("after", "");
    int limit = parseLimit(context.getRequest().getQueryParams().get("limit"));
    support.respondJson(
        context,
        () -> jobs.list(organisation).flatMap(all -> page(all, after, limit)),
        BatchJson::writeJobs);
  }

  private static int parseLimit(String text) {
    try {
      return text == null
          ? DEFAULT_PAGE_SIZE
          : Math.max(1, Math.min(MAX_PAGE_SIZE, Integer.parseInt(text)));
    } catch (NumberFormatException e) {
      return DEFAULT_PAGE_SIZE;
    }
  }

  private Either<Outcome, BatchJson.JobPage> page(List<Job> all, String after, int limit) {
    int from = 0;
    while (!after.isEmpty() && from < all.size() && !all.get(from).id().value().equals(after)) {
      from++;
    }
    from += after.isEmpty() ? 0 : 1;
    List<BatchJson.JobView> views = new ArrayList<>();
    for (Job job : all.stream().skip(from).limit(limit).toList()) {
      Either<Outcome, BatchJson.JobView> view = view(job);
      if (view.isLeft()) {
        return Either.left(view.getLeft());
      }
      views.add(view.get());
    }
    return Either.right(new BatchJson.JobPage(views, from + views.size() < all.size()));
  }

  private Either<Outcome, Job> find(Context context, OrganisationId organisation) {
    String id = context.getPathTokens().get(ID);
    if (!Keys.owner(id).equals(organisation)) {
      return BatchHandlerSupport.notFound("job", id);
    }
    return jobs.find(JobId.of(id)).map(StoredJob::job);
  }

  private Either<Outcome, BatchJson.JobView> view(Job job) {
    if (job.state().ended()) {
      return Either.right(new BatchJson.JobView(job, job.counts()));
    }
    return jobs.states(job)
        .map(ChunkStates::counts)
        .map(counts -> new BatchJson.JobView(job, counts))
        .mapLeft(
            f ->
                new Outcome.Refused(
                    new Refusal(
                        RefusalCode.UNAVAILABLE, "the store does not answer", clock.instant())));
  }
}
