/** Batch jobs: accepted once, run once, readable by the deadline. */
package org.waxwingcourse.batch;
