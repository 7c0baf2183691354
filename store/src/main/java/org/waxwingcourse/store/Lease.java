package org.waxwingcourse.store;

import org.waxwingcourse.model.time.Deadline;

/**
 * A lease as granted or renewed.
 *
 * @param id the lease
 * @param deadline when it lapses, counted from before the call was sent
 */
public record Lease(LeaseId id, Deadline deadline) {}
