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

/**
 * The checks of requests with a key: configuration, key, rate, and size and arrival of the body.
 */
public final class RequestChecks {
  private static final String BEARER = "Bearer ";

  /**
   * An authenticated caller.
   *
   * @param key hash of the key
   * @param organisation the organisation that the key belongs to
   */
  public record Caller(KeyHash key, Organisation organisation) {}

  private final CallerPorts ports;
  private static final int REQUEST_TIMEOUT = 408;

  private final BodyDeadline bodyDeadline;

  /** Creates the checks, backed by {@code ports}. */
  public RequestChecks(CallerPorts ports) {
    this.ports = ports;
    this.bodyDeadline = new BodyDeadline(ports.bodyTimeout(), RequestChecks::bodyTimeoutJson);
  }

  /** Returns the current instant of the node's clock. */
  public Instant now() {
    return ports.clock().instant();
  }

  /** Returns the configuration in force, or a refusal while none has arrived. */
  public Either<Refusal, FleetConfiguration> configuration() {
    String message = "this host has no configuration yet";
    return Option.ofOptional(ports.configuration().current())
        .toEither(() -> new Refusal(RefusalCode.UNAVAILABLE, message, now().plusSeconds(1)));
  }

  /** Returns the caller that the key of the request belongs to, or a refusal. */
  public Either<Refusal, Caller> authenticate(Context context) {
    String header = context.getRequest().getHeaders().get("Authorization");
    if (header == null || !header.startsWith(BEARER)) {
      String message = "header \"Authorization: Bearer <key>\" is missing or malformed";
      return Either.left(new Refusal(RefusalCode.INVALID_KEY, message, Instant.EPOCH));
    }
    KeyHash key = KeyHash.ofKey(header.substring(BEARER.length()).strip());
    return ports.authenticator().authenticate(key).map(o -> new Caller(key, o));
  }

  /**
   * Charges a request to the organisation's rate. Runs {@code then} if the request is admitted,
   * otherwise sends the refusal to the caller.
   */
  public void admit(
      Context context, OrganisationId organisation, Deadline deadline, Runnable then) {
    Promise.<Option<Refusal>>async(
            downstream ->
                ports
                    .admission()
                    .admit(organisation, WorkClass.ONLINE, deadline)
                    .whenComplete(
                        (refusal, error) -> {
                          if (error == null) {
                            downstream.success(refusal);
                          } else {
                            downstream.error(error);
                          }
                        }))
        .then(
            refusal -> {
              refusal.peek(r -> countRejection(organisation, r)).peek(r -> reject(context, r));
              if (refusal.isEmpty()) {
                then.run();
              }
            });
  }

  /** Counts whether an admitted request was rejected later, for example by a full queue. */
  public void countAdmission(OrganisationId organisation, Outcome outcome) {
    boolean served = !(outcome instanceof Outcome.Refused);
    ports.levels().countEvents(Objective.ADMISSION, organisation, served);
  }

  /** Counts a refusal as a missed objective unless the organisation exceeds its rate. */
  private void countRejection(OrganisationId organisation, Refusal refusal) {
    if (refusal.code() != RefusalCode.RATE_LIMITED) {
      ports.levels().countEvents(Objective.ADMISSION, organisation, false);
    }
  }

  /** Reads the request's body of at most {@code maxBytes} bytes and passes it to {@code then}. */
  public void readBody(Context context, int maxBytes, Consumer<byte[]> then) {
    Future<?> timeout = bodyDeadline.start(context);
    context
        .getRequest()
        .getBody(
            maxBytes,
            () -> {
              timeout.cancel(false);
              reject(context, bodyTooLarge(maxBytes));
            })
        .then(
            data -> {
              timeout.cancel(false);
              then.accept(data.getBytes());
            });
  }

  private static Refusal bodyTooLarge(int maxBytes) {
    String message = "the body exceeds " + maxBytes + " bytes";
    return new Refusal(RefusalCode.BODY_TOO_LARGE, message, Instant.EPOCH);
  }

  /** Sends a refusal as the response. */
  public void reject(Context context, Refusal refusal) {
    ApiError.of(refusal).send(context, now());
  }

  private static String bodyTimeoutJson(String message) {
    return new ApiError(REQUEST_TIMEOUT, "body_too_slow", message, ApiError.Run.NOT_RUN, null)
        .json();
  }
}
