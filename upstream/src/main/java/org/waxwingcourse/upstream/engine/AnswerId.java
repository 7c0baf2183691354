package org.waxwingcourse.upstream.engine;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import org.waxwingcourse.model.id.RequestId;

/**
 * Recognises answers that belong to another request. Engines commonly repeat the request's id in
 * the answer's own. An id that this system made for another request proves a crossed answer, also
 * from an engine that this host has not met before; once an engine is seen to repeat ids, any other
 * id does. Nothing is asked of an engine that never repeats them.
 */
final class AnswerId {
  private static final String ID = "\"id\":";
  private static final Pattern ID_MADE_HERE =
      Pattern.compile("\"id\"\\s*:\\s*\"[^\"]*" + Pattern.quote(RequestId.PREFIX));

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
    return ID_MADE_HERE.matcher(answer).find() || repeatsIds.get() && answer.contains(ID);
  }
}
