package org.waxwingcourse.policy.trust;

import org.waxwingcourse.model.id.Revision;

/**
 * Versions of the two documents on which hosts agree.
 *
 * @param configuration revision of the operators' configuration
 * @param roster revision of the roster of holders
 */
public record Versions(Revision configuration, Revision roster) {
  /** Returns the versions with the given revisions. */
  public static Versions of(Revision configuration, Revision roster) {
    return new Versions(configuration, roster);
  }

  /** Returns whether neither document of {@code other} is newer. */
  public boolean covers(Versions other) {
    return !other.configuration.isAfter(configuration) && !other.roster.isAfter(roster);
  }
}
