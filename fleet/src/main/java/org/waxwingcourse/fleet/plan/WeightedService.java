package org.waxwingcourse.fleet.plan;

import org.waxwingcourse.model.id.ServiceName;

/**
 * A service and its share of a route's requests.
 *
 * @param service the service
 * @param weight its share, in proportion to the other weights
 */
public record WeightedService(ServiceName service, double weight) {}
