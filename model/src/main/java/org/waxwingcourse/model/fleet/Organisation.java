package org.waxwingcourse.model.fleet;

import java.util.Set;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * An organisation with its keys and its rate, exceptions already applied.
 *
 * @param id the organisation's name
 * @param rate the rate in force
 * @param keys hashes of the keys that work
 */
public record Organisation(OrganisationId id, Rate rate, Set<KeyHash> keys) {
  /** Copies the keys. */
  public Organisation {
    keys = Set.copyOf(keys);
  }
}
