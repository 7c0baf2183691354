package org.waxwingcourse.policy.route;

import org.waxwingcourse.model.id.UpstreamId;

/**
 * A host's view of an engine when it selects one.
 *
 * @param id the engine
 * @param load load per slot: exact for engines that this host owns, otherwise the last digest plus
 *     the requests that this host has sent since
 */
public record EngineView(UpstreamId id, double load) {}
