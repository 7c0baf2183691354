package org.waxwingcourse.store.etcd;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The messages of etcd's JSON gateway that this system uses, by the names of etcd's published
 * protocol ({@code rpc.proto} and {@code kv.proto}). Absent fields read as zero, empty or null.
 */
public final class EtcdMessages {
  /** The target of a comparison with the revision of the last change. */
  public static final String TARGET_MOD = "MOD";

  /** The comparison for equality. */
  public static final String RESULT_EQUAL = "EQUAL";

  /** The type of a watch event for a deleted key; a put has no type. */
  public static final String EVENT_DELETE = "DELETE";

  private EtcdMessages() {}

  /** Leads every answer. */
  public record Header(long revision) {}

  /** An entry. */
  public record KeyValue(
      byte[] key, long createRevision, long modRevision, byte[] value, long lease) {}

  /** A read of one key, or of the keys from {@code key} up to {@code rangeEnd}, excluded. */
  public record RangeRequest(byte[] key, byte[] rangeEnd) {}

  /** Answers a read. */
  public record RangeResponse(Header header, List<KeyValue> kvs) {
    /** Reads an absent list as empty. */
    public RangeResponse {
      kvs = kvs == null ? List.of() : List.copyOf(kvs);
    }
  }

  /** A comparison of a key's last change with a revision. */
  public record CompareMessage(byte[] key, String target, String result, long modRevision) {}

  /** Stores an entry. */
  public record PutRequest(byte[] key, byte[] value, long lease) {}

  /** Deletes an entry. */
  public record DeleteRangeRequest(byte[] key) {}

  /** One operation of a transaction: exactly one of the three is given. */
  public record Operation(
      RangeRequest requestRange, PutRequest requestPut, DeleteRangeRequest requestDeleteRange) {}

  /** A transaction. */
  public record TxnRequest(
      List<CompareMessage> compare, List<Operation> success, List<Operation> failure) {
    /** Reads absent lists as empty. */
    public TxnRequest {
      compare = compare == null ? List.of() : List.copyOf(compare);
      success = success == null ? List.of() : List.copyOf(success);
      failure = failure == null ? List.of() : List.copyOf(failure);
    }
  }

  /** The answer to one operation; only reads matter here. */
  public record OperationResponse(RangeResponse responseRange) {}

  /** Answers a transaction. */
  public record TxnResponse(Header header, boolean succeeded, List<OperationResponse> responses) {
    /** Reads an absent list as empty. */
    public TxnResponse {
      responses = responses == null ? List.of() : List.copyOf(responses);
    }
  }

  /** Asks for a lease of {@code ttl} seconds. */
  public record LeaseGrantRequest(@JsonProperty("TTL") long ttl) {}

  /** Names a lease to renew or revoke. */
  public record LeaseIdRequest(@JsonProperty("ID") long id) {}

  /** Answers a grant, and inside {@link LeaseKeepAliveFrame} a renewal; no TTL if it is gone. */
  public record LeaseResponse(
      Header header, @JsonProperty("ID") long id, @JsonProperty("TTL") long ttl) {}

  /** One frame of the stream that answers renewals. */
  public record LeaseKeepAliveFrame(LeaseResponse result) {}

  /** Asks to watch a range from {@code startRevision} on. */
  public record WatchCreate(byte[] key, byte[] rangeEnd, long startRevision) {}

  /** The first message of a watch. */
  public record WatchRequest(WatchCreate createRequest) {}

  /** One change. */
  public record WatchEvent(String type, KeyValue kv) {}

  /** Changes, or the confirmation or the end of a watch. */
  public record WatchResponse(
      Header header,
      boolean created,
      boolean canceled,
      long compactRevision,
      List<WatchEvent> events) {
    /** Reads an absent list as empty. */
    public WatchResponse {
      events = events == null ? List.of() : List.copyOf(events);
    }
  }

  /** One frame of a watch's stream. */
  public record WatchFrame(WatchResponse result) {}

  /** The body of a refusal. */
  public record ErrorMessage(String error, int code, String message) {}
}
