/**
 * Batch jobs. Each job is accepted once, each of its items gets at most one result, and the results
 * are readable by the job's deadline.
 */
package org.waxwingcourse.batch;
