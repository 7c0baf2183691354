package org.waxwingcourse.node.dispatch;

import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;

/** Executes calls of plain services. */
@FunctionalInterface
public interface ServiceDispatcher {
  /** Submits a call without blocking; the listener receives the response and its outcome. */
  Call submit(ServiceRequest request, AnswerListener listener);
}
