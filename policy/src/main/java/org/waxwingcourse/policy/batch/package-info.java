/** Scheduling of batch work, and the explanation of its delays for users. */
package org.waxwingcourse.policy.batch;
