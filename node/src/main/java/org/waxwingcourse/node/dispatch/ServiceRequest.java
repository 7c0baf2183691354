package org.waxwingcourse.node.dispatch;

import io.vavr.control.Option;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.upstream.service.ServiceCall;

/**
 * A call of a plain service, already authenticated and admitted.
 *
 * @param id identifies the request
 * @param organisation the organisation of the caller, none for a service that is open to all
 * @param call the call itself
 */
public record ServiceRequest(RequestId id, Option<OrganisationId> organisation, ServiceCall call) {}
