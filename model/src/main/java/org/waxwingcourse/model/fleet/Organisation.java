package org.waxwingcourse.model.fleet;

import java.util.Set;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * An organisation with its keys and its rate, with exceptions applied.
 *
 * @param id the name of the organisation
 * @param rate the rate in force
 * @param keys the hashes of its valid keys
 */
public record Organisation(OrganisationId id, Rate rate, Set<KeyHash> keys) {
  /** Makes an immutable copy of the keys. */
  public Organisation {
    keys = Set.copyOf(keys);
  }
}
