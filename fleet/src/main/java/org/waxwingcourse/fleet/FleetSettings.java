package org.waxwingcourse.fleet;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * The settings of a host.
 *
 * @param host the host's name
 * @param dataCentre the data centre that it runs in
 * @param region the region of that data centre
 * @param peerAddress the address on which other hosts connect
 * @param callerAddress the address on which callers connect, none if it serves no callers
 * @param trustLimit maximum age of the evidence for accepting a key
 * @param stopLimit time from the request to stop until the process is killed
 * @param jobRetention how long a job can be read after it was submitted
 * @param regions the regions of data centres, that of this host included
 */
public record FleetSettings(
    HostId host,
    DataCentreId dataCentre,
    String region,
    InetSocketAddress peerAddress,
    Option<InetSocketAddress> callerAddress,
    Duration trustLimit,
    Duration stopLimit,
    Duration jobRetention,
    Map<DataCentreId, String> regions) {
  /** Copies the regions. */
  public FleetSettings {
    regions = Map.copyOf(regions);
  }

  /** Creates settings that name the region of this host's data centre only. */
  public FleetSettings(
      HostId host,
      DataCentreId dataCentre,
      String region,
      InetSocketAddress peerAddress,
      Option<InetSocketAddress> callerAddress,
      Duration trustLimit,
      Duration stopLimit,
      Duration jobRetention) {
    this(
        host,
        dataCentre,
        region,
        peerAddress,
        callerAddress,
        trustLimit,
        stopLimit,
        jobRetention,
        Map.of(dataCentre, region));
  }

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
        + peerAddress
        + ", callers at "
        + callerAddress.map(InetSocketAddress::toString).getOrElse("no address")
        + ", keys trusted for "
        + trustLimit
        + ", stop within "
        + stopLimit
        + ", jobs kept for "
        + jobRetention;
  }
}
