package org.waxwingcourse.policy.member;

import java.util.List;
import org.waxwingcourse.model.id.HostId;

/** A message of the membership protocol. The first update is the sender's own. */
public sealed interface GossipMessage {
  /** Returns the updates that the message carries. */
  List<MemberUpdate> updates();

  /**
   * Asks for an acknowledgement.
   *
   * @param sequence repeated in the acknowledgement
   * @param updates see {@link GossipMessage}
   */
  record Probe(long sequence, List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Answers a probe.
   *
   * @param sequence the probe's
   * @param updates see {@link GossipMessage}
   */
  record Ack(long sequence, List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Asks the receiver to probe another host and to pass the acknowledgement on.
   *
   * @param sequence repeated in the acknowledgement
   * @param target the host to probe
   * @param updates see {@link GossipMessage}
   */
  record IndirectProbe(long sequence, HostId target, List<MemberUpdate> updates)
      implements GossipMessage {}

  /**
   * Carries fresh updates only.
   *
   * @param updates see {@link GossipMessage}
   */
  record Rumours(List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Asks for the receiver's members if they differ from the sender's.
   *
   * @param digest digest of the sender's members
   * @param updates see {@link GossipMessage}
   */
  record SyncRequest(long digest, List<MemberUpdate> updates) implements GossipMessage {}

  /**
   * Gives all members that the sender holds for not dead.
   *
   * @param digest digest of the sender's members
   * @param answerWanted whether the sender wants the receiver's members if they differ
   * @param updates see {@link GossipMessage}
   */
  record SyncAnswer(long digest, boolean answerWanted, List<MemberUpdate> updates)
      implements GossipMessage {}
}
