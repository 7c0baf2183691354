/** Decides whether and when a failed try is repeated. */
package org.waxwingcourse.policy.retry;
