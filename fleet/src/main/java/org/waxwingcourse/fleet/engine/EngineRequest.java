package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import java.util.List;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.time.Deadline;

/**
 * One request to an engine.
 *
 * @param id the caller's id of this attempt, or the item's
 * @param engine the engine that is to run it; any other engine at that address rejects it
 * @param method HTTP method
 * @param target path and query as the caller sent them
 * @param headers end-to-end headers as the caller sent them, without the caller's key
 * @param body the complete body
 * @param organisation the organisation it runs for, none on a route that needs no key
 * @param resumeAfter id of the last event received so far, none to start at the beginning
 * @param deadline when the engine must stop working on it
 */
public record EngineRequest(
    RequestId id,
    EngineEntry engine,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    Option<OrganisationId> organisation,
    Option<Long> resumeAfter,
    Deadline deadline) {}
