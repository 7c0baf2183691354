/** Holds organisations to their rates over all hosts together. */
package org.waxwingcourse.policy.rate;
