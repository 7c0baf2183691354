package org.waxwingcourse.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A complete HTTP answer.
 *
 * @param status the status code
 * @param headers in the order received
 * @param body the bytes of the body
 */
public record HttpAnswer(int status, List<Header> headers, byte[] body) {
  /** Copies the headers. */
  public HttpAnswer {
    headers = List.copyOf(headers);
  }

  /** Returns the body read as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the first header of that name, in any case. */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(h -> h.name().equalsIgnoreCase(name))
        .map(Header::value)
        .findFirst();
  }

  /** Tells whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
