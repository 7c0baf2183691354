package org.waxwingcourse.fleet.engine;

import java.util.List;
import org.waxwingcourse.http.Header;

/**
 * The status and headers of an engine's answer, and what they say about the request.
 *
 * @param status HTTP status
 * @param headers headers for the caller
 * @param verdict what the answer says about the request
 * @param closeDelimited whether nothing but the end of the connection marks the end of the body
 * @param leaving whether the engine says that it accepts no new requests
 * @param limit what the engine says about how many requests it takes
 */
public record EngineAnswer(
    int status,
    List<Header> headers,
    Verdict verdict,
    boolean closeDelimited,
    boolean leaving,
    StatedLimit limit) {
  /** What an answer says about whether the request ran. */
  public enum Verdict {
    /** The engine runs or has run the request. */
    RUN,
    /** The engine is full or has no time left for the request, and did not run it. */
    FULL,
    /** Another engine listens on the address; it did not run the request. */
    OTHER_ENGINE,
    /** The engine refused the request in its present form and did not run it. */
    REFUSED,
    /** The answer belongs to another request. */
    MISMATCHED
  }

  /** Copies the headers. */
  public EngineAnswer {
    headers = List.copyOf(headers);
  }

  /** Creates an answer that names no limit. */
  public EngineAnswer(
      int status, List<Header> headers, Verdict verdict, boolean closeDelimited, boolean leaving) {
    this(status, headers, verdict, closeDelimited, leaving, StatedLimit.NONE);
  }

  /** Returns whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
