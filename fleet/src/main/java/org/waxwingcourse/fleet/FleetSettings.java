package org.waxwingcourse.fleet;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * What a host is told at its start.
 *
 * @param host the host's name
 * @param dataCentre where it stands
 * @param region the region of that data centre
 * @param peers where other hosts connect
 * @param callers where callers connect, none if it takes none
 * @param trustLimit how old the evidence may be on which keys are accepted
 * @param stopLimit time from being told to stop until the process is killed
 * @param jobRetention how long a job stays readable after it was handed in
 */
public record FleetSettings(
    HostId host,
    DataCentreId dataCentre,
    String region,
    InetSocketAddress peers,
    Option<InetSocketAddress> callers,
    Duration trustLimit,
    Duration stopLimit,
    Duration jobRetention) {
  /** Written out, since the generated form takes a starting host 40 ms. */
  @Override
  public String toString() {
    return "host "
        + host
        + " in "
        + dataCentre
        + " of "
        + region
        + ", peers at "
        + peers
        + ", callers at "
        + callers.map(InetSocketAddress::toString).getOrElse("no address")
        + ", keys trusted for "
        + trustLimit
        + ", stop within "
        + stopLimit
        + ", jobs kept for "
        + jobRetention;
  }
}
