package org.waxwingcourse.upstream.exchange;

import java.net.InetSocketAddress;
import java.util.List;
import org.waxwingcourse.http.Header;

/**
 * One request for an upstream.
 *
 * @param to where the upstream listens
 * @param method the HTTP method
 * @param target path and query, sent byte for byte as given
 * @param headers sent in this order; the framing headers are added
 * @param body the whole body, empty for none
 * @param reuse whether an open connection may carry it; only a new one proves, when it cannot be
 *     opened, that no byte was sent
 */
public record ExchangeRequest(
    InetSocketAddress to,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    boolean reuse) {
  /** Copies the headers. */
  public ExchangeRequest {
    headers = List.copyOf(headers);
  }
}
