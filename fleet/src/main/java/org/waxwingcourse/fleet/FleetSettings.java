package org.waxwingcourse.fleet;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * The settings of a host.
 *
 * @param host the host's name
 * @param dataCentre the data centre that it runs in
 * @param region the region of that data centre
 * @param peers the address on which other hosts connect
 * @param callers the address on which callers connect, none if it serves no callers
 * @param trustLimit maximum age of the evidence for accepting a key
 * @param stopLimit time from the request to stop until the process is killed
 * @param jobRetention how long a job can be read after it was submitted
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
  /**
   * Formats the settings by hand, since the generated method takes 40 ms at the start of a host.
   */
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
