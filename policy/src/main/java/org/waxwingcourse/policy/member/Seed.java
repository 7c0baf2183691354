package org.waxwingcourse.policy.member;

import java.net.InetSocketAddress;
import org.waxwingcourse.model.id.HostId;

/**
 * A host on the platform's host list. Being listed does not imply that the host is alive.
 *
 * @param host the host
 * @param peerAddress where other hosts reach it
 */
public record Seed(HostId host, InetSocketAddress peerAddress) {}
