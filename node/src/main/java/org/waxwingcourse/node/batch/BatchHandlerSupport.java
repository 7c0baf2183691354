package org.waxwingcourse.node.batch;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.waxwingcourse.batch.intake.Known;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.node.web.ApiError;
import org.waxwingcourse.node.web.RequestChecks;
import ratpack.exec.Blocking;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Functions that the handlers of the batch API share: authentication and blocking operations. */
final class BatchHandlerSupport {
  private static final String JSON = "application/json";

  private final RequestChecks checks;

  BatchHandlerSupport(RequestChecks checks) {
    this.checks = checks;
  }

  /** Returns a handler that runs {@code then} only if the request's key is valid. */
  Handler authenticated(BiConsumer<Context, OrganisationId> then) {
    return context ->
        checks
            .authenticate(context)
            .peekLeft(refusal -> checks.reject(context, refusal))
            .peek(caller -> then.accept(context, caller.organisation().id()));
  }

  /** Checks the key again during a long response; returns a refusal if it is no longer valid. */
  Either<Refusal, OrganisationId> recheckKey(Context context) {
    return checks.authenticate(context).map(caller -> caller.organisation().id());
  }

  /** Returns the models and services that items can be sent to now. */
  Either<Refusal, Known> knownTargets() {
    return checks.configuration().map(c -> new Known(models(c), c.services().keySet()));
  }

  private static Set<ModelName> models(FleetConfiguration fleet) {
    return fleet.engines().values().stream()
        .flatMap(e -> e.models().stream())
        .collect(Collectors.toSet());
  }

  /** Runs the operation on a thread that may block and sends its value as JSON, or its error. */
  <T> void respondJson(
      Context context, Supplier<Either<Outcome, T>> operation, Function<T, String> json) {
    runBlocking(context, operation, value -> context.getResponse().send(JSON, json.apply(value)));
  }

  /**
   * Runs the operation on a thread that may block and passes its value to {@code then}, or sends
   * its error.
   */
  <T> void runBlocking(Context context, Supplier<Either<Outcome, T>> operation, Consumer<T> then) {
    Blocking.get(operation::get)
        .then(result -> result.peek(then).peekLeft(outcome -> sendError(context, outcome)));
  }

  /** Returns the refusal of an id that does not exist for the caller. */
  static <T> Either<Outcome, T> notFound(String kind, String id) {
    String message = kind + " \"" + id + "\" does not exist";
    return Either.left(
        new Outcome.Refused(new Refusal(RefusalCode.NOT_FOUND, message, Instant.EPOCH)));
  }

  /** Sends the error for an outcome. */
  void sendError(Context context, Outcome outcome) {
    ApiError.of(outcome).send(context, checks.now());
  }

  /** Sends the error for an invalid request. */
  void sendInvalidRequest(Context context, String message) {
    ApiError.invalid(message).send(context, checks.now());
  }
}
