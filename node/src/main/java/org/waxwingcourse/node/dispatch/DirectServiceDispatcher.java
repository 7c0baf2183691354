package org.waxwingcourse.node.dispatch;

import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.upstream.service.ServiceClient;

/** Executes calls of plain services by sending them from this host. */
public final class DirectServiceDispatcher implements ServiceDispatcher {
  private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

  private final ServiceClient services;

  /** Creates a dispatcher that sends through {@code services}. */
  public DirectServiceDispatcher(ServiceClient services) {
    this.services = services;
  }

  @Override
  public Call submit(ServiceRequest request, AnswerListener listener) {
    services
        .call(request.call())
        .thenAccept(
            answer ->
                answer.peekLeft(listener::onEnd).peek(httpAnswer -> deliver(httpAnswer, listener)));
    return () -> {};
  }

  private static void deliver(HttpAnswer answer, AnswerListener listener) {
    listener.onStart(answer.status(), answer.header("Content-Type").orElse(DEFAULT_CONTENT_TYPE));
    listener.onChunk(answer.body());
    listener.onEnd(new Outcome.Done());
  }
}
