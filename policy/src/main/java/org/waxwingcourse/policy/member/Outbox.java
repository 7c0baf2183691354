package org.waxwingcourse.policy.member;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

/**
 * Collects messages that are composed under the lock of the protocol and sent after its release.
 */
final class Outbox {
  /** A message and its recipient. */
  record Outgoing(HostId to, GossipMessage message) {}

  private final MemberTable table;
  private final RumourQueue rumours;
  private final MembershipSettings settings;
  private List<Outgoing> queued = new ArrayList<>();

  Outbox(MemberTable table, RumourQueue rumours, MembershipSettings settings) {
    this.table = table;
    this.rumours = rumours;
    this.settings = settings;
  }

  /**
   * Adds a message that carries the sender's state, the recipient's state if that is suspect or
   * dead, and rumours.
   */
  void add(HostId to, Function<List<MemberUpdate>, GossipMessage> message) {
    List<MemberUpdate> updates = initialUpdates(to);
    int transmissions = settings.maxTransmissions(table.size());
    updates.addAll(rumours.take(settings.maxRumours(), transmissions));
    queued.add(new Outgoing(to, message.apply(List.copyOf(updates))));
  }

  /** Adds a message that carries all members that are not dead. */
  void addWithAllMembers(HostId to, Function<List<MemberUpdate>, GossipMessage> message) {
    List<MemberUpdate> updates = initialUpdates(to);
    for (Member m : table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)) {
      updates.add(MemberUpdate.full(m));
    }
    queued.add(new Outgoing(to, message.apply(List.copyOf(updates))));
  }

  private List<MemberUpdate> initialUpdates(HostId to) {
    List<MemberUpdate> updates = new ArrayList<>();
    updates.add(MemberUpdate.full(table.self()));
    table
        .find(to)
        .filter(Outbox::isSuspectOrDead)
        .map(MemberUpdate::compact)
        .ifPresent(updates::add);
    return updates;
  }

  /**
   * Returns whether a member is suspect or dead, so that it must be informed in order to refute
   * this.
   */
  static boolean isSuspectOrDead(Member member) {
    return member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD;
  }

  /** Returns the collected messages and removes them from the outbox. */
  List<Outgoing> drain() {
    List<Outgoing> taken = queued;
    queued = new ArrayList<>();
    return taken;
  }
}
