package org.waxwingcourse.upstream.engine;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import org.waxwingcourse.model.id.RequestId;

/**
 * Detects responses that belong to another request. Engines commonly include the request id in the
 * id of the response. An id that this system generated for another request proves that the response
 * belongs to that request, even if it is the first response from the engine. Once an engine is
 * known to echo request ids, a response with any other id belongs to another request. Responses of
 * an engine that never echoes request ids are accepted.
 */
final class ResponseIdCheck {
  private static final String ID_FIELD = "\"id\":";
  private static final Pattern GENERATED_ID =
      Pattern.compile("\"id\"\\s*:\\s*\"[^\"]*" + Pattern.quote(RequestId.PREFIX));

  private final RequestId request;
  private final AtomicBoolean echoesIds;

  ResponseIdCheck(RequestId request, AtomicBoolean echoesIds) {
    this.request = request;
    this.echoesIds = echoesIds;
  }

  boolean belongsToOtherRequest(String response) {
    String quotedId = request.value() + "\"";
    if (response.contains("-" + quotedId) || response.contains("\"" + quotedId)) {
      echoesIds.set(true);
      return false;
    }
    return GENERATED_ID.matcher(response).find() || echoesIds.get() && response.contains(ID_FIELD);
  }
}
