/**
 * Runs the chunks of jobs on this host: keeps the lease, claims chunks, sends items and commits
 * results.
 */
package org.waxwingcourse.batch.run;
