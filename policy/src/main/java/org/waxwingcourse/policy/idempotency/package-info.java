/** Decides whether a call that may not be repeated may be sent. */
package org.waxwingcourse.policy.idempotency;
