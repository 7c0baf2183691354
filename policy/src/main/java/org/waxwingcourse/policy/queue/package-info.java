/**
 * Scheduling of the requests of one engine: online before batch, with fair shares between
 * organisations.
 */
package org.waxwingcourse.policy.queue;
