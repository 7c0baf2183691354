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
 * Encodes etcd's messages as its JSON gateway does: snake case, bytes in base64, 64-bit numbers as
 * strings, fields with a default value left out.
 */
public final class EtcdJson {
  private static final ObjectMapper MAPPER = mapper();

  private EtcdJson() {}

  /** Returns a message in its JSON form. */
  public static String write(Object message) {
    try {
      return MAPPER.writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads a message; the left side says what is wrong with the text. */
  public static <T> Either<String, T> read(byte[] json, Class<T> type) {
    try {
      T message = MAPPER.readValue(json, type);
      return message == null ? Either.left("the message is null") : Either.right(message);
    } catch (IOException e) {
      return Either.left(type.getSimpleName() + " cannot be read: " + e.getMessage());
    }
  }

  /** Makes a value from a message that may lack parts or hold impossible ones. */
  static <M, T> Either<String, T> convert(M message, Function<M, T> conversion) {
    return Try.of(() -> conversion.apply(message))
        .toEither()
        .mapLeft(e -> message.getClass().getSimpleName() + " makes no sense: " + e.getMessage());
  }

  /** Returns the bytes of a key. */
  public static byte[] bytesOf(String key) {
    return key.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the key with the given bytes. */
  public static String keyOf(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Returns the end of a range: none for a key, the first key past all others for a prefix. */
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

  /** Returns an entry from its message. */
  public static Entry entryOf(EtcdMessages.KeyValue kv) {
    return new Entry(
        keyOf(kv.key()),
        kv.value() == null ? new byte[0] : kv.value(),
        Revision.of(kv.createRevision()),
        Revision.of(kv.modRevision()),
        LeaseId.of(kv.lease()));
  }

  /** Returns the message of an entry. */
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
