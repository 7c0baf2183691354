package org.waxwingcourse.policy.configuration;

/** Result of offering a delta to a {@link DocumentFollower}. */
public enum OfferResult {
  /** The delta was applied and its target revision is in force. */
  APPLIED,
  /** The host is already at the delta's target revision or a later one. */
  STALE,
  /** The host lacks changes before the delta's base. */
  GAP,
  /** The changed document cannot be decoded; the previous one stays in force. */
  UNDECODABLE
}
