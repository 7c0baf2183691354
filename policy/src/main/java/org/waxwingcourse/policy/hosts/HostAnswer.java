package org.waxwingcourse.policy.hosts;

import java.util.List;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.time.Deadline;

/**
 * Hosts that a caller may use until a deadline.
 *
 * @param hosts the hosts, the first to be tried first; empty only if none that takes work is known
 * @param validUntil when the caller has to ask again
 */
public record HostAnswer(List<Member> hosts, Deadline validUntil) {}
