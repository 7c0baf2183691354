package org.waxwingcourse.fleet.plan;

import io.vavr.control.Option;
import org.waxwingcourse.fleet.engine.ColdTerms;
import org.waxwingcourse.model.id.ServiceName;

/**
 * The configuration of a service.
 *
 * @param name the service
 * @param slots number of requests that one of its engines runs at once, unless the engine states
 *     its own
 * @param cold what its cold engines take, none if not stated
 * @param engineMemoryTokens tokens that one of its engines can hold, zero if not limited
 */
public record ServicePlan(
    ServiceName name, int slots, Option<ColdTerms> cold, int engineMemoryTokens) {}
