package org.waxwingcourse.policy.member;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

/**
 * Publishes immutable views of the table with rising versions. Listeners see versions in order and
 * never an older one after a newer, whichever threads deliver them.
 */
final class ViewPublisher {
  private static final EventLog LOG = EventLog.of(ViewPublisher.class);

  /** The members at one version of the table. */
  record View(long version, Member self, List<Member> members, Map<HostId, Member> all) {
    Optional<Member> find(HostId host) {
      return Optional.ofNullable(all.get(host));
    }
  }

  private final MemberTable table;
  private final List<Consumer<List<Member>>> listeners = new CopyOnWriteArrayList<>();
  private final Object delivery = new Object();
  private volatile View current;
  private volatile long delivered;

  ViewPublisher(MemberTable table) {
    this.table = table;
    this.current = view(1);
  }

  View current() {
    return current;
  }

  void add(Consumer<List<Member>> listener) {
    listeners.add(listener);
  }

  /** Publishes a new view if the table has changed. Called under the lock of the table. */
  void refresh() {
    if (!table.changed()) {
      return;
    }
    View before = current;
    current = view(before.version() + 1);
    current.all().values().forEach(m -> report(before.find(m.id()), m));
  }

  /** Calls the listeners with the newest view, unless they have had it. */
  void deliver() {
    if (current.version() == delivered) {
      return;
    }
    synchronized (delivery) {
      View newest = current;
      if (newest.version() > delivered) {
        delivered = newest.version();
        listeners.forEach(l -> l.accept(newest.members()));
      }
    }
  }

  private View view(long version) {
    Map<HostId, Member> all = new HashMap<>();
    table.all().forEach(m -> all.put(m.id(), m));
    List<Member> members =
        all.values().stream()
            .filter(m -> m.state() != MemberState.DEAD)
            .sorted((a, b) -> a.id().compareTo(b.id()))
            .toList();
    return new View(version, table.self(), members, Collections.unmodifiableMap(all));
  }

  private static void report(Optional<Member> before, Member after) {
    if (before.map(Member::state).equals(Optional.of(after.state()))) {
      return;
    }
    LOG.write(event(after.state()), after.id(), after.incarnation());
  }

  private static Event event(MemberState state) {
    return switch (state) {
      case ALIVE -> Event.MEMBER_JOINED;
      case SUSPECT -> Event.MEMBER_SUSPECTED;
      case LEAVING -> Event.MEMBER_LEAVING;
      default -> Event.MEMBER_DEAD;
    };
  }
}
