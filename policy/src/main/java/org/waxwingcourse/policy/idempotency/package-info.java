/** Decides whether a call with an idempotency key may be sent. */
package org.waxwingcourse.policy.idempotency;
