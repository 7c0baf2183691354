/**
 * The operations on jobs for callers and operators: create, read, list, cancel, and read results.
 */
package org.waxwingcourse.batch.job;
