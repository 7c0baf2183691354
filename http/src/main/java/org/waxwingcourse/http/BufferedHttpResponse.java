package org.waxwingcourse.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * An HTTP response, buffered in memory.
 *
 * @param status the status code
 * @param headers the headers in the order received
 * @param body the body
 */
public record BufferedHttpResponse(int status, List<Header> headers, byte[] body) {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** Copies the headers. */
  public BufferedHttpResponse {
    headers = List.copyOf(headers);
  }

  /** Returns the body decoded as UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the value of the first header with the given name, ignoring case. */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(h -> h.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }

  /** Returns whether the status code is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /**
   * Returns whether the response states neither a length nor chunks, so that its body ends where
   * the connection is closed. The response to a HEAD request is no such response, whatever this
   * returns.
   */
  public boolean isCloseDelimited() {
    return status != NO_CONTENT
        && status != NOT_MODIFIED
        && header("Content-Length").isEmpty()
        && headers.stream().noneMatch(BufferedHttpResponse::isChunkedCoding);
  }

  private static boolean isChunkedCoding(Header header) {
    return header.name().equalsIgnoreCase("Transfer-Encoding")
        && header.value().toLowerCase(Locale.ROOT).contains("chunked");
  }
}
