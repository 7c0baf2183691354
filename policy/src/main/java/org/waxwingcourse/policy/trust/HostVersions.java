package org.waxwingcourse.policy.trust;

import java.time.Duration;
import org.waxwingcourse.model.id.HostId;

/**
 * The last known versions of another host.
 *
 * @param host the host
 * @param versions the versions that it had in force
 * @param heardAgo time since the versions were received
 */
public record HostVersions(HostId host, Versions versions, Duration heardAgo) {}
