package org.waxwingcourse.config.store;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.waxwingcourse.wire.configuration.HeadValue;

/**
 * The head entry: which change made the configuration what it is.
 *
 * @param change the newest change
 * @param digest SHA-256 over all other entries, in hexadecimal
 * @param earlier operation ids of the changes before it, newest first
 */
public record Head(Change change, String digest, List<String> earlier) {
  private static final int MAX_EARLIER = 32;

  /** Copies the ids. */
  public Head {
    earlier = List.copyOf(earlier);
  }

  /** Tells whether the operation is this change or one of those before it. */
  public boolean includes(String operation) {
    return change.operation().equals(operation) || earlier.contains(operation);
  }

  /** Returns the ids to note as earlier in the head after this one. */
  List<String> history() {
    return Stream.concat(Stream.of(change.operation()), earlier.stream())
        .limit(MAX_EARLIER)
        .toList();
  }

  byte[] toBytes() {
    return HeadValue.newBuilder()
        .setOperation(change.operation())
        .setWho(change.who())
        .setAtMillis(change.at().toEpochMilli())
        .setReason(change.reason())
        .setDigest(ByteString.copyFrom(HexFormat.of().parseHex(digest)))
        .addAllEarlier(earlier)
        .build()
        .toByteArray();
  }

  /** Reads a head entry, or says what is wrong with it. */
  public static Either<String, Head> parse(byte[] bytes) {
    try {
      HeadValue value = HeadValue.parseFrom(bytes);
      Instant at = Instant.ofEpochMilli(value.getAtMillis());
      String digest = HexFormat.of().formatHex(value.getDigest().toByteArray());
      return Change.of(value.getOperation(), value.getWho(), at, value.getReason())
          .map(change -> new Head(change, digest, value.getEarlierList()));
    } catch (InvalidProtocolBufferException e) {
      return Either.left("head entry is malformed: " + e.getMessage());
    }
  }
}
