package org.waxwingcourse.node.web;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import ratpack.handling.Context;

/**
 * An error in the form of the OpenAI API: {@code {"error": {"message", "type", "code"}}}. The
 * member {@code run} is one of {@code not_run}, {@code failed} and {@code unknown} and tells
 * whether the request can have taken effect.
 *
 * @param status HTTP status
 * @param code what went wrong, for programs
 * @param message what went wrong, for people
 * @param run whether the request can have run
 * @param retryAt the earliest useful time to come back, null where coming back is no use
 */
public record ApiError(int status, String code, String message, Run run, Instant retryAt) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Whether a request can have taken effect. */
  public enum Run {
    /** No upstream can have acted on it. */
    NOT_RUN,
    /** It ran and failed. */
    FAILED,
    /** It may have run. */
    UNKNOWN
  }

  /** Returns the error that tells of a refusal. */
  public static ApiError of(Refusal refusal) {
    int status = refusal.code().status();
    boolean retry = status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS;
    return new ApiError(
        status,
        refusal.code().wireName(),
        refusal.message(),
        Run.NOT_RUN,
        retry ? refusal.retryAt() : null);
  }

  /** Returns the error that tells of an outcome other than done. */
  public static ApiError of(Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      return of(refused.refusal());
    }
    if (outcome instanceof Outcome.Failed failed) {
      int status = failed.status() < FIRST_SERVER_ERROR ? failed.status() : BAD_GATEWAY;
      return new ApiError(status, "upstream_failed", failed.message(), Run.FAILED, null);
    }
    if (outcome instanceof Outcome.Unknown unknown) {
      return new ApiError(GATEWAY_TIMEOUT, "outcome_unknown", unknown.message(), Run.UNKNOWN, null);
    }
    throw new IllegalArgumentException("no error in " + outcome);
  }

  /** Returns a refusal of a request that is itself wrong. */
  public static ApiError invalid(String message) {
    return of(new Refusal(RefusalCode.INVALID_REQUEST, message, Instant.EPOCH));
  }

  /** Returns the JSON body. */
  public String json() {
    ObjectNode root = MAPPER.createObjectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", message);
    error.put("type", type());
    error.put("code", code);
    error.putNull("param");
    error.put("run", run.name().toLowerCase(java.util.Locale.ROOT));
    try {
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of text is always JSON", e);
    }
  }

  /** Answers the request in {@code context} with this error. */
  public void send(Context context, Instant now) {
    if (retryAt != null) {
      context.getResponse().getHeaders().set("Retry-After", secondsUntilRetry(now));
    }
    context.getResponse().status(status);
    context.getResponse().send("application/json", json());
  }

  private long secondsUntilRetry(Instant now) {
    long millis = Math.max(0, Duration.between(now, retryAt).toMillis());
    return Math.max(1, (millis + 999) / 1000);
  }

  private String type() {
    if (status == TOO_MANY_REQUESTS) {
      return "rate_limit_error";
    }
    return status >= FIRST_SERVER_ERROR ? "server_error" : "invalid_request_error";
  }
}
