package org.waxwingcourse.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * An HTTP response, buffered in memory.
 *
 * @param status the status code
 * @param headers the headers in the order received
 * @param body the body
 */
public record HttpAnswer(int status, List<Header> headers, byte[] body) {
  /** Copies the headers. */
  public HttpAnswer {
    headers = List.copyOf(headers);
  }

  /** Returns the body decoded as UTF-8. */
  public String text() {
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
}
