package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import java.util.List;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.time.Deadline;

/**
 * One request as an engine gets it.
 *
 * @param id the caller's id of this attempt, or the item's
 * @param engine who is to run it; any other engine at that address refuses
 * @param method HTTP method
 * @param target path and query as the caller sent them
 * @param headers end-to-end headers as the caller sent them, without its key
 * @param body the whole body
 * @param organisation who it runs for, none on a route open to all
 * @param resumeAfter the last event that is already had, none to begin at the start
 * @param deadline when the engine is to stop working on it
 * @param repeatable whether it may be sent on a connection that was open before
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
    Deadline deadline,
    boolean repeatable) {}
