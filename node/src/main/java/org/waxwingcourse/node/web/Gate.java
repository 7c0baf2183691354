package org.waxwingcourse.node.web;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.waxwingcourse.http.server.BodyDeadline;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.node.metrics.Objective;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** The checks that every keyed request passes: configuration known, key, rate, body. */
public final class Gate {
  private static final String BEARER = "Bearer ";

  /**
   * A caller whose key works.
   *
   * @param key hash of the key
   * @param organisation whom it belongs to
   */
  public record Caller(KeyHash key, Organisation organisation) {}

  private final CallerPorts ports;
  private static final int REQUEST_TIMEOUT = 408;

  private final BodyDeadline bodyDeadline;

  /** Returns the checks over the node's ports. */
  public Gate(CallerPorts ports) {
    this.ports = ports;
    this.bodyDeadline = new BodyDeadline(ports.bodyPatience(), Gate::bodyTooSlow);
  }

  /** Returns the node's present instant. */
  public Instant now() {
    return ports.clock().instant();
  }

  /** Returns the configuration in force, or a refusal where none has arrived yet. */
  public Either<Refusal, FleetConfiguration> configuration() {
    String message = "this host has no configuration yet";
    return Option.ofOptional(ports.configuration().current())
        .toEither(() -> new Refusal(RefusalCode.UNAVAILABLE, message, now().plusSeconds(1)));
  }

  /** Tells whose key came with the request. */
  public Either<Refusal, Caller> caller(Context context) {
    String header = context.getRequest().getHeaders().get("Authorization");
    if (header == null || !header.startsWith(BEARER)) {
      String message = "give a key in the header \"Authorization: Bearer <key>\"";
      return Either.left(new Refusal(RefusalCode.INVALID_KEY, message, Instant.EPOCH));
    }
    KeyHash key = KeyHash.ofKey(header.substring(BEARER.length()).strip());
    return ports.authenticator().authenticate(key).map(o -> new Caller(key, o));
  }

  /** Takes a request out of the organisation's rate; a refusal is sent to the caller. */
  public void admit(
      Context context, OrganisationId organisation, Deadline deadline, Runnable then) {
    Promise.<Option<Refusal>>async(
            down ->
                ports
                    .admission()
                    .admit(organisation, WorkClass.ONLINE, deadline)
                    .whenComplete(
                        (refusal, error) -> {
                          if (error == null) {
                            down.success(refusal);
                          } else {
                            down.error(error);
                          }
                        }))
        .then(
            refusal -> {
              refusal.peek(r -> count(organisation, r)).peek(r -> refuse(context, r));
              if (refusal.isEmpty()) {
                then.run();
              }
            });
  }

  /** Counts whether a request inside the rate was refused after all, as by a full queue. */
  public void countEnd(OrganisationId organisation, Outcome outcome) {
    boolean served = !(outcome instanceof Outcome.Refused);
    ports.levels().countEvents(Objective.ADMISSION, organisation, served);
  }

  /** A refusal counts as a miss unless the organisation is over its rate. */
  private void count(OrganisationId organisation, Refusal refusal) {
    if (refusal.code() != RefusalCode.RATE_LIMITED) {
      ports.levels().countEvents(Objective.ADMISSION, organisation, false);
    }
  }

  /** Reads the request's body, up to the declared limit. */
  public void body(Context context, int maxBytes, Consumer<byte[]> then) {
    Future<?> late = bodyDeadline.start(context);
    context
        .getRequest()
        .getBody(
            maxBytes,
            () -> {
              late.cancel(false);
              refuse(context, tooLarge(maxBytes));
            })
        .then(
            data -> {
              late.cancel(false);
              then.accept(data.getBytes());
            });
  }

  private static Refusal tooLarge(int maxBytes) {
    String message = "the body exceeds " + maxBytes + " bytes";
    return new Refusal(RefusalCode.BODY_TOO_LARGE, message, Instant.EPOCH);
  }

  /** Answers with a refusal. */
  public void refuse(Context context, Refusal refusal) {
    ApiError.of(refusal).send(context, now());
  }

  private static String bodyTooSlow(String message) {
    return new ApiError(REQUEST_TIMEOUT, "body_too_slow", message, ApiError.Run.NOT_RUN, null)
        .json();
  }
}
