package org.waxwingcourse.upstream.exchange;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Predicate;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.Header;

/**
 * One request to an upstream.
 *
 * @param address the address of the upstream
 * @param method the HTTP method
 * @param target the path and query, sent unchanged
 * @param headers the headers, sent in this order; the framing headers are added
 * @param body the whole body, empty for none
 * @param isForeignResponse recognises from its head a response to another request. If that is the
 *     previous request on the connection, the response is read to its end and dropped, and the
 *     response to this request is expected after it.
 */
public record ExchangeRequest(
    InetSocketAddress address,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    Predicate<BufferedHttpResponse> isForeignResponse) {
  /** Copies the headers. */
  public ExchangeRequest {
    headers = List.copyOf(headers);
  }
}
