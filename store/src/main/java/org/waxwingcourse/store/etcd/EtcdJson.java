package org.waxwingcourse.store.etcd;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Function;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.LeaseId;

/**
 * Reads and writes etcd's messages in the JSON form of its gateway: field names in snake case,
 * bytes in base64, 64-bit numbers as strings, and fields with a default value omitted.
 */
public final class EtcdJson {
  private static final ObjectMapper MAPPER = mapper();

  private EtcdJson() {}

  /** Returns a message as JSON. */
  public static String write(Object message) {
    try {
      return MAPPER.writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Parses a message. The left side describes the parse error. */
  public static <T> Either<String, T> read(byte[] json, Class<T> type) {
    try {
      T message = MAPPER.readValue(json, type);
      return message == null ? Either.left("the message is null") : Either.right(message);
    } catch (IOException e) {
      return Either.left(type.getSimpleName() + " cannot be read: " + e.getMessage());
    }
  }

  /**
   * Converts a message whose fields may be missing or out of range. The left side describes the
   * problem.
   */
  static <M, T> Either<String, T> convert(M message, Function<M, T> conversion) {
    return Try.of(() -> conversion.apply(message))
        .toEither()
        .mapLeft(e -> message.getClass().getSimpleName() + " is invalid: " + e.getMessage());
  }

  /** Returns the bytes of a key. */
  public static byte[] bytesOf(String key) {
    return key.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the key with the given bytes. */
  public static String keyOf(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /**
   * Returns the exclusive end of a range: null for a single key, the first key after all keys with
   * the prefix otherwise.
   */
  public static byte[] rangeEndOf(KeyRange range) {
    if (!range.prefix()) {
      return null;
    }
    byte[] end = bytesOf(range.key());
    for (int i = end.length - 1; i >= 0; i--) {
      if (end[i] != (byte) 0xff) {
        end[i]++;
        return Arrays.copyOf(end, i + 1);
      }
    }
    return new byte[1];
  }

  /** Converts a message to an entry. */
  public static Entry entryOf(EtcdMessages.KeyValue kv) {
    return new Entry(
        keyOf(kv.key()),
        kv.value() == null ? new byte[0] : kv.value(),
        Revision.of(kv.createRevision()),
        Revision.of(kv.modRevision()),
        LeaseId.of(kv.lease()));
  }

  /** Converts an entry to a message. */
  public static EtcdMessages.KeyValue messageOf(Entry entry) {
    return new EtcdMessages.KeyValue(
        bytesOf(entry.key()),
        entry.created().value(),
        entry.modified().value(),
        entry.value(),
        entry.lease().value());
  }

  private static ObjectMapper mapper() {
    ObjectMapper mapper =
        JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .defaultPropertyInclusion(
                JsonInclude.Value.construct(
                    JsonInclude.Include.NON_DEFAULT, JsonInclude.Include.USE_DEFAULTS))
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    JsonFormat.Value text = JsonFormat.Value.forShape(JsonFormat.Shape.STRING);
    mapper.configOverride(long.class).setFormat(text);
    return mapper;
  }
}
