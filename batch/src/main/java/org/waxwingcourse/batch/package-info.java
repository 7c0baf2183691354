/**
 * Batch jobs. Each job is accepted once, each item has exactly one result, and the results are
 * available by the job's deadline.
 */
package org.waxwingcourse.batch;
