package org.waxwingcourse.model.request;

/** The kinds of refusal, with the HTTP status that tells a caller. */
public enum RefusalCode {
  /** The request itself is malformed. */
  INVALID_REQUEST(400),
  /** No key came with the request, or one that does not work. */
  INVALID_KEY(401),
  /** The model or service is not declared. */
  NOT_FOUND(404),
  /** The body exceeds the limit. */
  BODY_TOO_LARGE(413),
  /** The organisation is over its rate. */
  RATE_LIMITED(429),
  /** The queue is full, or the deadline cannot be met. */
  OVERLOADED(503),
  /** This host lacks recent evidence of the configuration, or no upstream can be reached. */
  UNAVAILABLE(503),
  /** The host is stopping. */
  STOPPING(503);

  private final int status;

  RefusalCode(int status) {
    this.status = status;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /** Returns the code's name in an error body. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
