package org.waxwingcourse.policy.route;

import org.waxwingcourse.model.id.UpstreamId;

/**
 * What a host knows of an engine when it chooses one.
 *
 * @param id the engine
 * @param load work for each slot, exact for engines that this host owns, else the last digest and
 *     what this host has sent since
 */
public record EngineView(UpstreamId id, double load) {}
