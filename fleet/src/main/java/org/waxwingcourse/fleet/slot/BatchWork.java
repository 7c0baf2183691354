package org.waxwingcourse.fleet.slot;

import org.waxwingcourse.model.time.Deadline;

/**
 * The work of a batch request.
 *
 * @param dueAt when its result is due
 * @param receivedEvents events that earlier runs have produced and a further run does not repeat
 */
public record BatchWork(Deadline dueAt, int receivedEvents) {}
