package org.waxwingcourse.policy.member;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

/** Composes messages under the lock of the protocol, to be sent after it is released. */
final class Outbox {
  /** A message and its receiver. */
  record Outgoing(HostId to, GossipMessage message) {}

  private final MemberTable table;
  private final RumourQueue rumours;
  private final MembershipSettings settings;
  private List<Outgoing> waiting = new ArrayList<>();

  Outbox(MemberTable table, RumourQueue rumours, MembershipSettings settings) {
    this.table = table;
    this.rumours = rumours;
    this.settings = settings;
  }

  /** Adds a message with the sender's state, the receiver's if it is in doubt, and rumours. */
  void add(HostId to, Function<List<MemberUpdate>, GossipMessage> message) {
    List<MemberUpdate> updates = opening(to);
    int times = settings.transmissions(table.size());
    updates.addAll(rumours.take(settings.maxRumours(), times));
    waiting.add(new Outgoing(to, message.apply(List.copyOf(updates))));
  }

  /** Adds a message with all members that are not dead. */
  void addAll(HostId to, Function<List<MemberUpdate>, GossipMessage> message) {
    List<MemberUpdate> updates = opening(to);
    for (Member m : table.others(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)) {
      updates.add(MemberUpdate.full(m));
    }
    waiting.add(new Outgoing(to, message.apply(List.copyOf(updates))));
  }

  private List<MemberUpdate> opening(HostId to) {
    List<MemberUpdate> updates = new ArrayList<>();
    updates.add(MemberUpdate.full(table.self()));
    table.find(to).filter(Outbox::inDoubt).map(MemberUpdate::compact).ifPresent(updates::add);
    return updates;
  }

  /** Tells whether a host is to be told what is believed of it, so that it may refute. */
  static boolean inDoubt(Member member) {
    return member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD;
  }

  /** Returns the messages to send and begins anew. */
  List<Outgoing> take() {
    List<Outgoing> taken = waiting;
    waiting = new ArrayList<>();
    return taken;
  }
}
