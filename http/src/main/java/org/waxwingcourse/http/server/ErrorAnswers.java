package org.waxwingcourse.http.server;

import ratpack.handling.Context;

/**
 * Sends the error responses for requests that no handler has answered, in the format of the
 * server's interface.
 */
public interface ErrorAnswers {
  /** Responds to a request whose handler has failed. */
  void failed(Context context, Throwable error);

  /** Responds to a request that the server itself rejects with a status such as 404. */
  void refused(Context context, int status);
}
