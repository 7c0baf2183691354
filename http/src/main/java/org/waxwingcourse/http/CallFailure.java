package org.waxwingcourse.http;

import java.net.ConnectException;
import java.util.Locale;

/**
 * A failed HTTP call, for which no complete response was received.
 *
 * @param kind what the failure implies about the request
 * @param message a description of the failure
 * @param connectionRefused whether the upstream's machine answered that nothing listens there, so
 *     that the failure says nothing about this host
 */
public record CallFailure(Kind kind, String message, boolean connectionRefused) {
  /** Creates a failure other than a refused connection. */
  public CallFailure(Kind kind, String message) {
    this(kind, message, false);
  }

  /** Creates the failure to open a connection, for example because it was refused. */
  public static CallFailure notConnected(Throwable cause) {
    return new CallFailure(Kind.NOT_SENT, "no connection: " + cause, isRefusal(cause));
  }

  /**
   * A time-out is no answer of the upstream's machine. The operating system reports its own, which
   * is longer than that of the client, by a {@link ConnectException} too.
   */
  private static boolean isRefusal(Throwable cause) {
    String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
    return cause instanceof ConnectException && !message.contains("timed out");
  }

  /** What a failure implies about the request. */
  public enum Kind {
    /** No connection was established, so no byte of the request was sent. */
    NOT_SENT,
    /** The connection closed before the response was complete; the request may have run. */
    LOST,
    /**
     * The upstream sent bytes that are no response, or that do not end, and this side closed the
     * connection; the request may have run.
     */
    MALFORMED,
    /** The deadline passed before the response was complete; the request may have run. */
    TIMED_OUT,
    /** The caller cancelled the call; the request may have run. */
    CANCELLED,
    /**
     * This host can open no connection to any upstream, so no byte of the request was sent; this
     * says nothing about the upstream.
     */
    OUT_OF_REACH,
    /**
     * The way to the upstream was lost: this host reaches no upstream any longer, or the host that
     * passed the request on is gone. The request may have run; this says nothing about the
     * upstream.
     */
    LINK_LOST
  }
}
