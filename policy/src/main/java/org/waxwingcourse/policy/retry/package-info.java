/** Decides whether and when a failed attempt is retried. */
package org.waxwingcourse.policy.retry;
