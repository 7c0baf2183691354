package org.waxwingcourse.fleet.engine;

import java.util.List;
import org.waxwingcourse.http.Header;

/**
 * The head of an engine's answer.
 *
 * @param status HTTP status
 * @param headers headers for the caller
 * @param verdict what the answer says of the request
 */
public record EngineAnswer(int status, List<Header> headers, Verdict verdict) {
  /** What an answer says of the request. */
  public enum Verdict {
    /** The engine runs or ran it. */
    RUN,
    /** The engine is full or out of time and did not run it. */
    FULL,
    /** Another engine has the address; it did not run it. */
    OTHER_ENGINE,
    /** The engine refused the request as it stands and did not run it. */
    REFUSED,
    /** The answer belongs to another request. */
    CROSSED
  }

  /** Copies the headers. */
  public EngineAnswer {
    headers = List.copyOf(headers);
  }

  /** Tells whether the status is 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
