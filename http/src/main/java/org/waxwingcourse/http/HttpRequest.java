package org.waxwingcourse.http;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.time.Deadline;

/**
 * An HTTP request to send.
 *
 * @param method the HTTP method
 * @param uri the target of the request
 * @param headers the headers, sent unchanged
 * @param body the body, empty for none
 * @param deadline the time at which the call ends even if the response is not complete
 * @param reuse whether the request may be sent on a pooled connection; a request that must not run
 *     twice uses a new connection, because a failure to connect then proves that nothing was sent
 */
public record HttpRequest(
    String method, URI uri, List<Header> headers, byte[] body, Deadline deadline, boolean reuse) {
  /** Copies the headers. */
  public HttpRequest {
    headers = List.copyOf(headers);
  }

  /** Returns a GET request that may use a pooled connection. */
  public static HttpRequest get(URI uri, Deadline deadline) {
    return new HttpRequest("GET", uri, List.of(), new byte[0], deadline, true);
  }

  /** Returns a POST request with a JSON body that may use a pooled connection. */
  public static HttpRequest postJson(URI uri, String json, Deadline deadline) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    List<Header> headers = List.of(Header.of("Content-Type", "application/json"));
    return new HttpRequest("POST", uri, headers, body, deadline, true);
  }

  /** Returns a copy of this request with one more header. */
  public HttpRequest with(Header header) {
    List<Header> all = new ArrayList<>(headers);
    all.add(header);
    return new HttpRequest(method, uri, all, body, deadline, reuse);
  }

  /** Returns a copy of this request that is sent on a new connection. */
  public HttpRequest onFreshConnection() {
    return new HttpRequest(method, uri, headers, body, deadline, false);
  }
}
