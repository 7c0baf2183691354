package org.waxwingcourse.model.request;

import io.vavr.control.Option;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.time.Deadline;

/**
 * One call of a plain service, already authenticated and admitted.
 *
 * @param id identifies the request
 * @param organisation who it runs for, none on a route that is open to all
 * @param service the service
 * @param method HTTP method
 * @param path path and query below the service's base address
 * @param contentType media type of the body, empty without one
 * @param body the bytes of the body
 * @param idempotencyKey the caller's Idempotency-Key
 * @param deadline when the caller stops waiting
 */
public record ServiceRequest(
    RequestId id,
    Option<OrganisationId> organisation,
    PlainService service,
    String method,
    String path,
    String contentType,
    byte[] body,
    Option<String> idempotencyKey,
    Deadline deadline) {}
