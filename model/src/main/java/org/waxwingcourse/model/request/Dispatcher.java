package org.waxwingcourse.model.request;

/** Runs inference requests on engines. */
@FunctionalInterface
public interface Dispatcher {
  /** Submits a request without blocking. The listener receives the answer and the outcome. */
  Call submit(InferenceRequest request, AnswerListener listener);
}
