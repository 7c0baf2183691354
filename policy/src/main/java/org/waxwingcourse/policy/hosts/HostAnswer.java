package org.waxwingcourse.policy.hosts;

import java.util.List;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.time.Deadline;

/**
 * Hosts that a caller may use until a deadline.
 *
 * @param hosts the hosts in the order in which to try them; empty only if no host that accepts work
 *     is known
 * @param validUntil deadline after which the caller must request a new selection
 */
public record HostAnswer(List<Member> hosts, Deadline validUntil) {}
