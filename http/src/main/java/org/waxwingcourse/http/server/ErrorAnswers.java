package org.waxwingcourse.http.server;

import ratpack.handling.Context;

/** Answers requests that no handler has answered, in the form of a front's interface. */
public interface ErrorAnswers {
  /** A handler has failed. */
  void failed(Context context, Throwable error);

  /** The request is refused with a status of the server's own, such as 404. */
  void refused(Context context, int status);
}
