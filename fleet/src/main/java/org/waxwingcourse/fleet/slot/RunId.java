package org.waxwingcourse.fleet.slot;

import org.waxwingcourse.model.id.HostId;

/**
 * Names one request for a slot and the run that follows.
 *
 * @param host who asks
 * @param number unique in the host's process
 */
public record RunId(HostId host, long number) {}
