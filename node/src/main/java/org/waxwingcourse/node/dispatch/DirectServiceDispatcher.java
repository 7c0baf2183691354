package org.waxwingcourse.node.dispatch;

import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.upstream.service.ServiceClient;

/** Sends each call of a plain service from this host. */
public final class DirectServiceDispatcher implements ServiceDispatcher {
  private static final String BYTES = "application/octet-stream";

  private final ServiceClient services;

  /** Creates a dispatcher over {@code services}. */
  public DirectServiceDispatcher(ServiceClient services) {
    this.services = services;
  }

  @Override
  public Call submit(ServiceRequest request, AnswerListener listener) {
    services
        .call(request.call())
        .thenAccept(
            answer -> answer.peekLeft(listener::onEnd).peek(whole -> deliver(whole, listener)));
    return () -> {};
  }

  private static void deliver(HttpAnswer answer, AnswerListener listener) {
    listener.onStart(answer.status(), answer.header("Content-Type").orElse(BYTES));
    listener.onChunk(answer.body());
    listener.onEnd(new Outcome.Done());
  }
}
