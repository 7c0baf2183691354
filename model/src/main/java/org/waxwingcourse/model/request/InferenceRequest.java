package org.waxwingcourse.model.request;

import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.time.Deadline;

/**
 * One request for a model engine, already authenticated and admitted.
 *
 * @param id identifies the request on every host it crosses
 * @param organisation who it runs for
 * @param model the model it asks for
 * @param workClass online or batch
 * @param body the JSON body for the engine, without any caller's key
 * @param stream whether the answer comes as server-sent events
 * @param promptPrefix the start of the prompt, for routing by cached prefix
 * @param deadline when the caller stops waiting
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
