package org.waxwingcourse.store.etcd;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The messages of etcd's JSON gateway that this system uses, with the names of etcd's published
 * protocol ({@code rpc.proto} and {@code kv.proto}). Absent fields are read as zero, empty or null.
 */
public final class EtcdMessages {
  /** The target of a comparison with the revision of the last modification. */
  public static final String TARGET_MOD = "MOD";

  /** The result that a comparison for equality expects. */
  public static final String RESULT_EQUAL = "EQUAL";

  /** The type of a watch event for a deleted key; a put has no type. */
  public static final String EVENT_DELETE = "DELETE";

  private EtcdMessages() {}

  /** The header of every response. */
  public record Header(long revision) {}

  /** A key-value entry. */
  public record KeyValue(
      byte[] key, long createRevision, long modRevision, byte[] value, long lease) {}

  /** Reads one key, or the keys from {@code key} inclusive to {@code rangeEnd} exclusive. */
  public record RangeRequest(byte[] key, byte[] rangeEnd) {}

  /** The response to a range request. */
  public record RangeResponse(Header header, List<KeyValue> kvs) {
    /** Reads an absent list as empty. */
    public RangeResponse {
      kvs = kvs == null ? List.of() : List.copyOf(kvs);
    }
  }

  /** Compares the revision of a key's last modification with a given revision. */
  public record CompareMessage(byte[] key, String target, String result, long modRevision) {}

  /** Stores a value under a key. */
  public record PutRequest(byte[] key, byte[] value, long lease) {}

  /** Deletes a key. */
  public record DeleteRangeRequest(byte[] key) {}

  /** One operation of a transaction. Exactly one of the three fields is set. */
  public record Operation(
      RangeRequest requestRange, PutRequest requestPut, DeleteRangeRequest requestDeleteRange) {}

  /** A transaction: comparisons, and the operations to run if all of them hold or if one fails. */
  public record TxnRequest(
      List<CompareMessage> compare, List<Operation> success, List<Operation> failure) {
    /** Reads absent lists as empty. */
    public TxnRequest {
      compare = compare == null ? List.of() : List.copyOf(compare);
      success = success == null ? List.of() : List.copyOf(success);
      failure = failure == null ? List.of() : List.copyOf(failure);
    }
  }

  /** The response to one operation. Only the responses to reads are used. */
  public record OperationResponse(RangeResponse responseRange) {}

  /** The response to a transaction. */
  public record TxnResponse(Header header, boolean succeeded, List<OperationResponse> responses) {
    /** Reads an absent list as empty. */
    public TxnResponse {
      responses = responses == null ? List.of() : List.copyOf(responses);
    }
  }

  /** Requests a lease of {@code ttl} seconds. */
  public record LeaseGrantRequest(@JsonProperty("TTL") long ttl) {}

  /** Identifies a lease to renew or revoke. */
  public record LeaseIdRequest(@JsonProperty("ID") long id) {}

  /**
   * The response to a grant and, inside {@link LeaseKeepAliveFrame}, to a renewal. The TTL is
   * absent if the lease does not exist any more.
   */
  public record LeaseResponse(
      Header header, @JsonProperty("ID") long id, @JsonProperty("TTL") long ttl) {}

  /** One frame of the response stream of renewals. */
  public record LeaseKeepAliveFrame(LeaseResponse result) {}

  /** Requests a watch of a range from {@code startRevision} on. */
  public record WatchCreate(byte[] key, byte[] rangeEnd, long startRevision) {}

  /** The first request message of a watch. */
  public record WatchRequest(WatchCreate createRequest) {}

  /** One change of a watched key. */
  public record WatchEvent(String type, KeyValue kv) {}

  /** A batch of changes, or the confirmation or the cancellation of a watch. */
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

  /** One frame of a watch's response stream. */
  public record WatchFrame(WatchResponse result) {}

  /** The body of an error response. */
  public record ErrorMessage(String error, int code, String message) {}
}
