package org.waxwingcourse.policy.trust;

import java.time.Duration;
import org.waxwingcourse.model.id.HostId;

/**
 * What another host had when it was last heard.
 *
 * @param host the host
 * @param versions what it had in force
 * @param heardAgo how long ago it said so
 */
public record HostVersions(HostId host, Versions versions, Duration heardAgo) {}
