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
 * Publishes immutable views of the table with increasing versions. Listeners receive the versions
 * in order, and never an older one after a newer one, regardless of the threads that notify them.
 */
final class ViewPublisher {
  private static final EventLog LOG = EventLog.of(ViewPublisher.class);

  /** The members at one version of the table. */
  record View(long version, Member self, List<Member> members, Map<HostId, Member> byId) {
    Optional<Member> find(HostId host) {
      return Optional.ofNullable(byId.get(host));
    }
  }

  private final MemberTable table;
  private final List<Consumer<List<Member>>> listeners = new CopyOnWriteArrayList<>();
  private final Object notificationLock = new Object();
  private volatile View current;
  private volatile long notifiedVersion;

  ViewPublisher(MemberTable table) {
    this.table = table;
    this.current = createView(1);
  }

  View current() {
    return current;
  }

  void addListener(Consumer<List<Member>> listener) {
    listeners.add(listener);
  }

  /** Publishes a new view if the table has changed. The caller must hold the lock of the table. */
  void refresh() {
    if (!table.takeChanged()) {
      return;
    }
    View before = current;
    current = createView(before.version() + 1);
    current.byId().values().forEach(m -> logStateChange(before.find(m.id()), m));
  }

  /** Notifies the listeners of the newest view unless they have already received it. */
  void notifyListeners() {
    if (current.version() == notifiedVersion) {
      return;
    }
    synchronized (notificationLock) {
      View newest = current;
      if (newest.version() > notifiedVersion) {
        notifiedVersion = newest.version();
        listeners.forEach(l -> l.accept(newest.members()));
      }
    }
  }

  private View createView(long version) {
    Map<HostId, Member> all = new HashMap<>();
    table.all().forEach(m -> all.put(m.id(), m));
    List<Member> members =
        all.values().stream()
            .filter(m -> m.state() != MemberState.DEAD)
            .sorted((a, b) -> a.id().compareTo(b.id()))
            .toList();
    return new View(version, table.self(), members, Collections.unmodifiableMap(all));
  }

  private static void logStateChange(Optional<Member> before, Member after) {
    if (before.map(Member::state).equals(Optional.of(after.state()))) {
      return;
    }
    LOG.write(eventFor(after.state()), after.id(), after.incarnation());
  }

  private static Event eventFor(MemberState state) {
    return switch (state) {
      case ALIVE -> Event.MEMBER_JOINED;
      case SUSPECT -> Event.MEMBER_SUSPECTED;
      case LEAVING -> Event.MEMBER_LEAVING;
      default -> Event.MEMBER_DEAD;
    };
  }
}
