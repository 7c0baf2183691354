package org.waxwingcourse.upstream.exchange;

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
 * @param reuseConnection whether the request may be sent on an idle connection; only a failure to
 *     open a new connection proves that no byte was sent
 */
public record ExchangeRequest(
    InetSocketAddress address,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    boolean reuseConnection) {
  /** Copies the headers. */
  public ExchangeRequest {
    headers = List.copyOf(headers);
  }
}
