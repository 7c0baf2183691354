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
 * The head entry of the configuration, which identifies the change that produced it.
 *
 * @param change the latest change
 * @param digest the SHA-256 digest of all other entries, in hexadecimal
 * @param earlierOperations the operation ids of the preceding changes, newest first
 */
public record ConfigurationHead(Change change, String digest, List<String> earlierOperations) {
  private static final int MAX_EARLIER_OPERATIONS = 32;

  /** Makes an unmodifiable copy of the operation ids. */
  public ConfigurationHead {
    earlierOperations = List.copyOf(earlierOperations);
  }

  /** Tells whether the operation produced this change or one of the preceding changes. */
  public boolean containsOperation(String operation) {
    return change.operation().equals(operation) || earlierOperations.contains(operation);
  }

  /** Returns the operation ids that precede the next change, newest first. */
  List<String> operationHistory() {
    return Stream.concat(Stream.of(change.operation()), earlierOperations.stream())
        .limit(MAX_EARLIER_OPERATIONS)
        .toList();
  }

  byte[] toBytes() {
    return HeadValue.newBuilder()
        .setOperation(change.operation())
        .setWho(change.who())
        .setAtMillis(change.at().toEpochMilli())
        .setReason(change.reason())
        .setDigest(ByteString.copyFrom(HexFormat.of().parseHex(digest)))
        .addAllEarlier(earlierOperations)
        .build()
        .toByteArray();
  }

  /** Parses a head entry; returns an error message if it is malformed. */
  public static Either<String, ConfigurationHead> parse(byte[] bytes) {
    try {
      HeadValue value = HeadValue.parseFrom(bytes);
      Instant at = Instant.ofEpochMilli(value.getAtMillis());
      String digest = HexFormat.of().formatHex(value.getDigest().toByteArray());
      return Change.of(value.getOperation(), value.getWho(), at, value.getReason())
          .map(change -> new ConfigurationHead(change, digest, value.getEarlierList()));
    } catch (InvalidProtocolBufferException e) {
      return Either.left("head entry is malformed: " + e.getMessage());
    }
  }
}
