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

/** What the handlers of the batch API share: the caller's key, and answers that block. */
final class BatchGate {
  private static final String JSON = "application/json";

  private final RequestChecks checks;

  BatchGate(RequestChecks checks) {
    this.checks = checks;
  }

  /** Returns a handler that runs only with a key that works. */
  Handler keyed(BiConsumer<Context, OrganisationId> then) {
    return context ->
        checks
            .authenticate(context)
            .peekLeft(refusal -> checks.reject(context, refusal))
            .peek(caller -> then.accept(context, caller.organisation().id()));
  }

  /** Asked again while a long answer is under way: the refusal if the key works no more. */
  Either<Refusal, OrganisationId> still(Context context) {
    return checks.authenticate(context).map(caller -> caller.organisation().id());
  }

  /** Returns what items can be sent to now. */
  Either<Refusal, Known> known() {
    return checks.configuration().map(c -> new Known(models(c), c.services().keySet()));
  }

  private static Set<ModelName> models(FleetConfiguration fleet) {
    return fleet.engines().values().stream()
        .flatMap(e -> e.models().stream())
        .collect(Collectors.toSet());
  }

  /** Asks on a thread that may block, and answers with JSON or the error. */
  <T> void answer(
      Context context, Supplier<Either<Outcome, T>> question, Function<T, String> json) {
    ask(context, question, value -> context.getResponse().send(JSON, json.apply(value)));
  }

  /** Asks on a thread that may block; an error is answered, a value handed on. */
  <T> void ask(Context context, Supplier<Either<Outcome, T>> question, Consumer<T> then) {
    Blocking.get(question::get)
        .then(result -> result.peek(then).peekLeft(outcome -> fail(context, outcome)));
  }

  /** Returns the refusal of an id that does not exist for the caller. */
  static <T> Either<Outcome, T> notFound(String kind, String id) {
    String message = kind + " \"" + id + "\" does not exist";
    return Either.left(
        new Outcome.Refused(new Refusal(RefusalCode.NOT_FOUND, message, Instant.EPOCH)));
  }

  /** Answers with the error that an outcome stands for. */
  void fail(Context context, Outcome outcome) {
    ApiError.of(outcome).send(context, checks.now());
  }

  /** Answers with a refusal of a request that is itself wrong. */
  void invalid(Context context, String message) {
    ApiError.invalid(message).send(context, checks.now());
  }
}
