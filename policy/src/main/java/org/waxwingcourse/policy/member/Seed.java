package org.waxwingcourse.policy.member;

import java.net.InetSocketAddress;
import org.waxwingcourse.model.id.HostId;

/**
 * A host that the platform's list names. No evidence that it is alive.
 *
 * @param host the host
 * @param peerAddress where other hosts reach it
 */
public record Seed(HostId host, InetSocketAddress peerAddress) {}
