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
 * An error in the format of the OpenAI API: {@code {"error": {"message", "type", "code"}}}. The
 * additional member {@code run} is one of {@code not_run}, {@code failed} and {@code unknown} and
 * says whether the request can have taken effect.
 *
 * @param status HTTP status
 * @param code error code for programs
 * @param message error description for people
 * @param run whether the request can have been executed
 * @param retryAt earliest useful time for a retry, null if a retry is of no use
 */
public record ApiError(int status, String code, String message, Run run, Instant retryAt) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  /** Says whether a request can have taken effect. */
  public enum Run {
    /** No upstream can have executed the request. */
    NOT_RUN,
    /** The request was executed and failed. */
    FAILED,
    /** The request may have been executed. */
    UNKNOWN
  }

  /** Returns the error for a refusal. */
  public static ApiError of(Refusal refusal) {
    int status = refusal.code().status();
    boolean retryable = status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS;
    return new ApiError(
        status,
        refusal.code().wireName(),
        refusal.message(),
        Run.NOT_RUN,
        retryable ? refusal.retryAt() : null);
  }

  /** Returns the error for an outcome other than {@link Outcome.Done}. */
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
    throw new IllegalArgumentException("outcome is not an error: " + outcome);
  }

  /** Returns the error for an invalid request. */
  public static ApiError invalid(String message) {
    return of(new Refusal(RefusalCode.INVALID_REQUEST, message, Instant.EPOCH));
  }

  /** Returns the JSON body. */
  public String json() {
    ObjectNode root = MAPPER.createObjectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", message);
    error.put("type", errorType());
    error.put("code", code);
    error.putNull("param");
    error.put("run", run.name().toLowerCase(java.util.Locale.ROOT));
    try {
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("error object cannot be written as JSON", e);
    }
  }

  /** Sends this error as the response to the request in {@code context}. */
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

  private String errorType() {
    if (status == TOO_MANY_REQUESTS) {
      return "rate_limit_error";
    }
    return status >= FIRST_SERVER_ERROR ? "server_error" : "invalid_request_error";
  }
}
