/** Enforces the rate of each organisation across all hosts. */
package org.waxwingcourse.policy.rate;
