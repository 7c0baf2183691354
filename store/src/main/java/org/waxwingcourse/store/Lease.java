package org.waxwingcourse.store;

import org.waxwingcourse.model.time.Deadline;

/**
 * A granted or renewed lease.
 *
 * @param id the lease
 * @param deadline when it expires, computed from the local clock's reading before the call was sent
 */
public record Lease(LeaseId id, Deadline deadline) {}
