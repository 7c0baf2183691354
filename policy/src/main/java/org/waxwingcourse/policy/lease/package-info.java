/** Leases from the point of view of their holders, and the fencing numbers that receivers check. */
package org.waxwingcourse.policy.lease;
