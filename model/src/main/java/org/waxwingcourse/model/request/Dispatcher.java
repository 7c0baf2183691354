package org.waxwingcourse.model.request;

/** Runs inference requests on engines. */
@FunctionalInterface
public interface Dispatcher {
  /** Submits a request; its answer, and its end, reach the listener. Never blocks. */
  Call submit(InferenceRequest request, AnswerListener listener);
}
