package org.waxwingcourse.model.request;

/** The kinds of refusal, each with its HTTP status. */
public enum RefusalCode {
  /** The request is malformed. */
  INVALID_REQUEST(400),
  /** The request has no key or a key that is not valid. */
  INVALID_KEY(401),
  /** The model or service is not declared. */
  NOT_FOUND(404),
  /** The body exceeds the limit. */
  BODY_TOO_LARGE(413),
  /** The organisation exceeds its rate. */
  RATE_LIMITED(429),
  /** The queue is full, or the deadline cannot be met. */
  OVERLOADED(503),
  /** Engines crash on the prompt. */
  QUARANTINED(503),
  /** It is not known which software began the stream that the request takes up. */
  STREAM_UNKNOWN(503),
  /** This host lacks recent evidence of the configuration, or no upstream can be reached. */
  UNAVAILABLE(503),
  /** The host is stopping. */
  STOPPING(503);

  private final int status;

  RefusalCode(int status) {
    this.status = status;
  }

  /** Returns the HTTP status code. */
  public int httpStatus() {
    return status;
  }

  /** Returns the name of this code in an error body. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
