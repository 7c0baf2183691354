package org.waxwingcourse.policy.trust;

import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/**
 * One process that may hold shares of rates.
 *
 * @param host its host
 * @param dataCentre where it stands
 * @param incarnation tells the process from earlier and later ones of the same host
 */
public record Holder(HostId host, DataCentreId dataCentre, long incarnation) {
  /** Returns the holder with the given values. */
  public static Holder of(HostId host, DataCentreId dataCentre, long incarnation) {
    return new Holder(host, dataCentre, incarnation);
  }
}
