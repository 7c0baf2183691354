package org.waxwingcourse.node.web;

import java.time.Instant;
import org.waxwingcourse.http.server.ErrorAnswers;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import ratpack.handling.Context;
import ratpack.http.ConnectionClosedException;

/** Sends error responses in the format of the OpenAI API. */
public final class ApiErrorHandler implements ErrorAnswers {
  private static final EventLog LOG = EventLog.of(ApiErrorHandler.class);
  private static final int NOT_FOUND = 404;

  @Override
  public void failed(Context context, Throwable error) {
    if (error instanceof ConnectionClosedException) {
      return;
    }
    LOG.write(Event.REQUEST_FAILED, context.getRequest().getPath(), error.toString());
    new ApiError(500, "internal_error", "internal server error", ApiError.Run.UNKNOWN, null)
        .send(context, Instant.EPOCH);
  }

  @Override
  public void refused(Context context, int status) {
    String path = "/" + context.getRequest().getPath();
    String message =
        status == NOT_FOUND
            ? "path \"" + path + "\" does not exist"
            : "the request was rejected with status " + status;
    RefusalCode code = status == NOT_FOUND ? RefusalCode.NOT_FOUND : RefusalCode.INVALID_REQUEST;
    ApiError error = ApiError.of(new Refusal(code, message, Instant.EPOCH));
    new ApiError(status, error.code(), message, ApiError.Run.NOT_RUN, null)
        .send(context, Instant.EPOCH);
  }
}
