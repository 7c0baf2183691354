/** Orders the work for one engine: online before batch, organisations in fair shares. */
package org.waxwingcourse.policy.queue;
