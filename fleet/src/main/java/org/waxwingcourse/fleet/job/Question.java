package org.waxwingcourse.fleet.job;

import org.waxwingcourse.model.id.HostId;

/**
 * Identifies a message that another host answers. Numbers begin anew in each process, so an answer
 * names the process that asked and the job as well, and answers this question only if all are
 * equal.
 *
 * @param host the host that is asked
 * @param boot identifies the process that asks
 * @param number unique within that process
 * @param job the job's id, empty in an answer of an earlier version of the host
 */
record Question(HostId host, long boot, long number, String job) {}
