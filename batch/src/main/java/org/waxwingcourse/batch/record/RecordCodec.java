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

/** Converts records to and from the bytes that are stored. */
public final class RecordCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
          .registerModule(
              new SimpleModule()
                  .addSerializer(Instant.class, ToStringSerializer.instance)
                  .addDeserializer(Instant.class, new InstantDeserializer()));

  private RecordCodec() {}

  /** Returns the record as JSON. */
  public static byte[] toJson(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("record cannot be written as JSON", e);
    }
  }

  /** Parses the record that is stored in an entry. */
  public static <T> T fromEntry(Entry entry, Class<T> type) {
    try {
      return MAPPER.readValue(entry.value(), type);
    } catch (IOException e) {
      throw new IllegalStateException("entry \"" + entry.key() + "\" cannot be read", e);
    }
  }

  /** Returns text lines as a gzip-compressed JSON array. */
  public static byte[] compress(List<String> lines) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(output)) {
      MAPPER.writeValue(gzip, lines);
    } catch (IOException e) {
      throw new IllegalStateException("lines cannot be compressed", e);
    }
    return output.toByteArray();
  }

  /** Decodes lines that were encoded by {@link #compress} and may be stored in several entries. */
  public static List<String> decompress(List<Entry> parts) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    parts.forEach(part -> output.writeBytes(part.value()));
    return decompress(output.toByteArray());
  }

  /** Decodes lines that were encoded by {@link #compress}. */
  public static List<String> decompress(byte[] compressed) {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
      return MAPPER.readValue(gzip.readAllBytes(), new TypeReference<List<String>>() {});
    } catch (IOException e) {
      throw new IllegalStateException("stored lines cannot be read", e);
    }
  }

  /** Returns the length of a text in UTF-8 bytes. */
  public static int utf8Length(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  private static final class InstantDeserializer extends FromStringDeserializer<Instant> {
    InstantDeserializer() {
      super(Instant.class);
    }

    @Override
    protected Instant _deserialize(
        String value, com.fasterxml.jackson.databind.DeserializationContext context) {
      return Instant.parse(value);
    }
  }
}
