package org.waxwingcourse.model.request;

import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.time.Deadline;

/**
 * A request for a model engine that has been authenticated and admitted.
 *
 * @param id identifies the request on every host that handles it
 * @param organisation the organisation for which the request runs
 * @param model the requested model
 * @param workClass whether the request is online or batch work
 * @param body the JSON body for the engine, without the caller's key
 * @param stream whether the answer is sent as server-sent events
 * @param promptPrefix the start of the prompt, for routing by cached prefix
 * @param deadline the time at which the caller stops waiting
 */
public record InferenceRequest(
    RequestId id,
    OrganisationId organisation,
    ModelName model,
    WorkClass workClass,
    String body,
    boolean stream,
    String promptPrefix,
    Deadline deadline) {}
