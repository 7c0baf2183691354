package org.waxwingcourse.fleet.slot;

import org.waxwingcourse.model.id.HostId;

/**
 * Identifies one request for a slot and the run that it leads to.
 *
 * @param host the host that requested the slot
 * @param number unique in the host's process
 */
public record RunId(HostId host, long number) {}
