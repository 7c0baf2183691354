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

/** Reads and writes the JSON of control calls and answers. */
public final class Answers {
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

  private Answers() {}

  /** The body of a refused call. */
  private record Problem(String message) {}

  /** Answers with status 200 and a value as JSON. */
  public static void json(Context ctx, Object value) {
    send(ctx, STATUS_OK, write(value));
  }

  /** Answers with a status and a body that is JSON already. */
  public static void send(Context ctx, int status, String json) {
    ctx.getResponse().status(status).send("application/json", json);
  }

  /** Answers with status 400 and a message. */
  public static void badRequest(Context ctx, String message) {
    send(ctx, STATUS_BAD_REQUEST, write(new Problem(message)));
  }

  /** Reads the body as a value and goes on with it, or answers with status 400. */
  public static <T> void withBody(Context ctx, Class<T> type, Consumer<T> action) {
    ctx.getRequest()
        .getBody()
        .then(
            body ->
                read(body.getBytes(), type)
                    .peek(action)
                    .peekLeft(message -> badRequest(ctx, message)));
  }

  /** Never answers; the connection stays open. */
  public static void hang() {
    Promise.async(downstream -> {}).then(never -> {});
  }

  /** Returns a value as JSON. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads a value from JSON; the left side says what is wrong. */
  public static <T> Either<String, T> read(byte[] json, Class<T> type) {
    try {
      return Either.right(MAPPER.readValue(json.length == 0 ? new byte[] {'{', '}'} : json, type));
    } catch (IOException e) {
      return Either.left(e.getMessage());
    }
  }
}
