package org.waxwingcourse.fleet.plan;

import org.waxwingcourse.model.id.ServiceName;

/**
 * What is declared of a service.
 *
 * @param name the service
 * @param slots requests that one of its engines runs at once, where the engine does not say
 */
public record ServicePlan(ServiceName name, int slots) {}
