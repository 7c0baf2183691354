package org.waxwingcourse.upstream.engine;

import java.util.concurrent.atomic.AtomicBoolean;
import org.waxwingcourse.model.id.RequestId;

/**
 * Recognises answers that belong to another request. Engines commonly repeat the request's id in
 * the answer's own; once an engine is seen to do so, an answer with another id is refused. Nothing
 * is asked of an engine that never does.
 */
final class AnswerId {
  private static final String ID = "\"id\":";

  private final RequestId request;
  private final AtomicBoolean repeatsIds;

  AnswerId(RequestId request, AtomicBoolean repeatsIds) {
    this.request = request;
    this.repeatsIds = repeatsIds;
  }

  boolean isOfAnother(String answer) {
    String end = request.value() + "\"";
    if (answer.contains("-" + end) || answer.contains("\"" + end)) {
      repeatsIds.set(true);
      return false;
    }
    return repeatsIds.get() && answer.contains(ID);
  }
}
