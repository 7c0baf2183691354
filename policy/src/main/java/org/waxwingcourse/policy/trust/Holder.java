package org.waxwingcourse.policy.trust;

import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * A process that may hold shares of rates.
 *
 * @param host the host on which it runs
 * @param dataCentre the data centre of the host
 * @param incarnation distinguishes the process from earlier and later processes of the same host
 */
public record Holder(HostId host, DataCentreId dataCentre, long incarnation) {
  /** Returns the holder with the given values. */
  public static Holder of(HostId host, DataCentreId dataCentre, long incarnation) {
    return new Holder(host, dataCentre, incarnation);
  }
}
