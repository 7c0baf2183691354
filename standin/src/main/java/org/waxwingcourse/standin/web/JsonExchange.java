package org.waxwingcourse.standin.web;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Reads JSON request bodies and sends JSON responses. */
public final class JsonExchange {
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_NULL, JsonInclude.Include.USE_DEFAULTS))
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private JsonExchange() {}

  /** The body of a response with an error status. */
  private record ErrorResponse(String message) {}

  /** Sends a value as JSON with status 200. */
  public static void sendValue(Context ctx, Object value) {
    sendJson(ctx, STATUS_OK, encode(value));
  }

  /** Sends a body that is already JSON with the given status. */
  public static void sendJson(Context ctx, int status, String json) {
    ctx.getResponse().status(status).send("application/json", json);
  }

  /** Sends status 400 with an error message. */
  public static void sendBadRequest(Context ctx, String message) {
    sendJson(ctx, STATUS_BAD_REQUEST, encode(new ErrorResponse(message)));
  }

  /** Parses the request body and passes it to {@code action}, or sends status 400. */
  public static <T> void parseBody(Context ctx, Class<T> type, Consumer<T> action) {
    ctx.getRequest()
        .getBody()
        .then(
            body ->
                decode(body.getBytes(), type)
                    .peek(action)
                    .peekLeft(message -> sendBadRequest(ctx, message)));
  }

  /** Never responds to the current request; its connection stays open. */
  public static void neverRespond() {
    Promise.async(downstream -> {}).then(never -> {});
  }

  /** Encodes a value as JSON. */
  public static String encode(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses JSON as a value of a type; empty input is read as an empty object.
   *
   * @return the value, or an error message on the left
   */
  public static <T> Either<String, T> decode(byte[] json, Class<T> type) {
    try {
      return Either.right(MAPPER.readValue(json.length == 0 ? new byte[] {'{', '}'} : json, type));
    } catch (IOException e) {
      return Either.left(e.getMessage());
    }
  }
}
