package org.waxwingcourse.batch.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.waxwingcourse.store.Entry;

/** Turns records into the bytes that are stored, and back. */
public final class Codec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
          .registerModule(
              new SimpleModule()
                  .addSerializer(Instant.class, ToStringSerializer.instance)
                  .addDeserializer(Instant.class, new InstantReader()));

  private Codec() {}

  /** Returns the record as JSON. */
  public static byte[] json(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a record has a JSON form", e);
    }
  }

  /** Returns the record that an entry holds. */
  public static <T> T read(Entry entry, Class<T> type) {
    try {
      return MAPPER.readValue(entry.value(), type);
    } catch (IOException e) {
      throw new IllegalStateException("entry \"" + entry.key() + "\" cannot be read", e);
    }
  }

  /** Returns text lines as compressed JSON. */
  public static byte[] pack(List<String> lines) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream zip = new GZIPOutputStream(bytes)) {
      MAPPER.writeValue(zip, lines);
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory does not fail", e);
    }
    return bytes.toByteArray();
  }

  /** Returns the lines that {@link #pack} made the bytes of, which may lie in several entries. */
  public static List<String> unpack(List<Entry> parts) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    parts.forEach(p -> bytes.writeBytes(p.value()));
    return unpack(bytes.toByteArray());
  }

  /** Returns the lines that {@link #pack} made the bytes of. */
  public static List<String> unpack(byte[] packed) {
    try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(packed))) {
      return MAPPER.readValue(zip.readAllBytes(), new TypeReference<List<String>>() {});
    } catch (IOException e) {
      throw new IllegalStateException("stored lines cannot be read", e);
    }
  }

  /** Returns the number of bytes of a text as UTF-8. */
  public static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  private static final class InstantReader extends FromStringDeserializer<Instant> {
    InstantReader() {
      super(Instant.class);
    }

    @Override
    protected Instant _deserialize(
        String value, com.fasterxml.jackson.databind.DeserializationContext context) {
      return Instant.parse(value);
    }
  }
}
