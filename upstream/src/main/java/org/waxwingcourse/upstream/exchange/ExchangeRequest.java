package org.waxwingcourse.upstream.exchange;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.util.List;
import org.waxwingcourse.http.Header;

/**
 * One request to an upstream.
 *
 * @param address the address of the upstream
 * @param method the HTTP method
 * @param target the path and query, sent unchanged
 * @param headers the headers, sent in this order; the framing headers are added
 * @param body the whole body, empty for none
 * @param identity the header by which the head of a response names this request, none if responses
 *     name none. A response that names an earlier request of the connection is read to its end and
 *     dropped, and the response to this request is expected after it. So that the two can be told
 *     apart, a connection is not used again for an identity among its last requests.
 */
public record ExchangeRequest(
    InetSocketAddress address,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    Option<Header> identity) {
  /** Copies the headers. */
  public ExchangeRequest {
    headers = List.copyOf(headers);
  }
}
