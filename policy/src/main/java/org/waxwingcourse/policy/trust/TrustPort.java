package org.waxwingcourse.policy.trust;

import org.waxwingcourse.model.id.HostId;

/** The messages and store operations that the agreement between hosts uses. No method blocks. */
public interface TrustPort {
  /** Sends a message, which may be lost, duplicated or delayed. */
  void send(HostId to, TrustMessage message);

  /** Reads both heads from the store and passes the result to {@link Agreement#onHeads}. */
  void readHeads();

  /** Reads both documents from the store and offers them to the followers. */
  void readDocuments();

  /** Replaces the previous roster by compare-and-swap. */
  void writeRoster(Roster next);
}
