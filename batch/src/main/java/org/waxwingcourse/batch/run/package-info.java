/** Runs the chunks of jobs on this host: lease, claims, items, commits. */
package org.waxwingcourse.batch.run;
