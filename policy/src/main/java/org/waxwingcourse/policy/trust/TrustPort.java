package org.waxwingcourse.policy.trust;

import org.waxwingcourse.model.id.HostId;

/** What the agreement of versions needs from outside. No call blocks. */
public interface TrustPort {
  /** Sends a message, which may be lost, doubled or late. */
  void send(HostId to, TrustMessage message);

  /** Reads both heads from the store; the result goes to {@link Agreement#onHeads}. */
  void readHeads();

  /** Reads both documents from the store and offers them to the followers. */
  void readDocuments();

  /** Puts a roster in the place of its previous one by compare-and-swap. */
  void writeRoster(Roster next);
}
