package org.waxwingcourse.fleet.online;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.time.Deadline;

/**
 * One complete request of a caller.
 *
 * @param id the caller's id of this attempt
 * @param host the host name that the caller requested
 * @param method HTTP method
 * @param target path and query, byte for byte as received
 * @param headers end-to-end headers without the caller's key
 * @param body the complete body
 * @param key the caller's key
 * @param promptParts ids of the shared parts of its prompt, in order
 * @param resumeAfter id of the last event that the caller has received before
 * @param resumes id of the request that brought the first event of the stream that this one takes
 *     up, as named by the caller
 * @param arrivedAt when it had been read completely, by the steady clock
 * @param deadline when the caller stops waiting, none if not stated
 * @param size its tokens, as far as the caller states them
 */
public record OnlineRequest(
    RequestId id,
    String host,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    Option<String> key,
    List<Long> promptParts,
    Option<Long> resumeAfter,
    Option<String> resumes,
    Instant arrivedAt,
    Option<Deadline> deadline,
    RequestSize size) {
  /** Copies the lists. */
  public OnlineRequest {
    headers = List.copyOf(headers);
    promptParts = List.copyOf(promptParts);
  }

  @Override
  public String toString() {
    return "OnlineRequest[" + id + ", " + method + " " + target + "]";
  }
}
