package org.waxwingcourse.policy.configuration;

/** What became of a delta that was offered to a host. */
public enum Offer {
  /** It is in force. */
  APPLIED,
  /** The host is at this revision or a later one already. */
  OLD,
  /** The host lacks changes before the delta's base. */
  GAP,
  /** It cannot be decoded; the host keeps what it has. */
  UNREADABLE
}
