package org.waxwingcourse.http;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.time.Deadline;

/**
 * One HTTP request to send.
 *
 * @param method the HTTP method
 * @param uri where to
 * @param headers sent as given
 * @param body the bytes of the body, empty for none
 * @param deadline when the caller stops waiting for the whole answer
 * @param reuse whether a pooled connection may carry it; a request that must not run twice takes a
 *     fresh one, so that a failure to connect is known to have sent nothing
 */
public record HttpRequest(
    String method, URI uri, List<Header> headers, byte[] body, Deadline deadline, boolean reuse) {
  /** Copies the headers. */
  public HttpRequest {
    headers = List.copyOf(headers);
  }

  /** Returns a GET on a pooled connection. */
  public static HttpRequest get(URI uri, Deadline deadline) {
    return new HttpRequest("GET", uri, List.of(), new byte[0], deadline, true);
  }

  /** Returns a POST of JSON on a pooled connection. */
  public static HttpRequest postJson(URI uri, String json, Deadline deadline) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    List<Header> headers = List.of(Header.of("Content-Type", "application/json"));
    return new HttpRequest("POST", uri, headers, body, deadline, true);
  }

  /** Returns the same request with one more header. */
  public HttpRequest with(Header header) {
    List<Header> all = new ArrayList<>(headers);
    all.add(header);
    return new HttpRequest(method, uri, all, body, deadline, reuse);
  }

  /** Returns the same request on a connection of its own. */
  public HttpRequest onFreshConnection() {
    return new HttpRequest(method, uri, headers, body, deadline, false);
  }
}
