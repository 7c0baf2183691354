package org.waxwingcourse.node.dispatch;

import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;

/** Runs calls of plain services. */
@FunctionalInterface
public interface ServiceDispatcher {
  /** Submits a call; its answer, and its end, reach the listener. Never blocks. */
  Call submit(ServiceRequest request, AnswerListener listener);
}
