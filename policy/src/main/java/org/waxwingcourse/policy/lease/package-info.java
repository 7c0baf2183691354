/** Leases as their holders may use them, and the fencing numbers that receivers check. */
package org.waxwingcourse.policy.lease;
