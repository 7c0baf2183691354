package org.waxwingcourse.upstream.service;

import java.util.List;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.time.Deadline;

/**
 * A call to a plain service, as received from a caller.
 *
 * @param service the service
 * @param method the HTTP method
 * @param path the path below the service's name with its query, beginning with a slash
 * @param headers the headers from the caller, of which only an allowed set is forwarded
 * @param body the body
 * @param deadline when the caller stops waiting
 */
public record ServiceCall(
    PlainService service,
    String method,
    String path,
    List<Header> headers,
    byte[] body,
    Deadline deadline) {
  /** Copies the headers. */
  public ServiceCall {
    headers = List.copyOf(headers);
  }
}
