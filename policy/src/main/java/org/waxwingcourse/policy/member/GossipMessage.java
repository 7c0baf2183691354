package org.waxwingcourse.policy.member;

import java.util.List;
import org.waxwingcourse.model.id.HostId;

/** A message of the membership protocol. The first update describes the sender. */
public sealed interface GossipMessage {
  /** Returns the updates that the message carries. */
  List<MemberUpdate> updates();

  /**
   * Requests an acknowledgement.
   *
   * @param sequence repeated in the acknowledgement
   * @param updates see {@link GossipMessage}
   */
  record Probe(long sequence, List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Acknowledges a probe.
   *
   * @param sequence the sequence number of the probe
   * @param updates see {@link GossipMessage}
   */
  record Ack(long sequence, List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Requests that the receiver probe another host and forward the acknowledgement.
   *
   * @param sequence repeated in the acknowledgement
   * @param target the host to probe
   * @param updates see {@link GossipMessage}
   */
  record IndirectProbe(long sequence, HostId target, List<MemberUpdate> updates)
      implements GossipMessage {}

  /**
   * Carries recent updates and nothing else.
   *
   * @param updates see {@link GossipMessage}
   */
  record Rumours(List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Requests the receiver's members if they differ from the sender's.
   *
   * @param digest digest of the sender's members
   * @param updates see {@link GossipMessage}
   */
  record SyncRequest(long digest, List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Contains all members that the sender does not consider dead.
   *
   * @param digest digest of the sender's members
   * @param answerWanted whether the sender requests the receiver's members if they differ
   * @param updates see {@link GossipMessage}
   */
  record SyncAnswer(long digest, boolean answerWanted, List<MemberUpdate> updates)
      implements GossipMessage {}
}
