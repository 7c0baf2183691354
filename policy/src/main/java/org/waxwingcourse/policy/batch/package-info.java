/** Which batch work goes next, and what a person is told about it. */
package org.waxwingcourse.policy.batch;
