package org.waxwingcourse.policy.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.HostId;

/**
 * Fresh updates that this host passes on, the least often sent first, each a bounded number of
 * times. A newer update about a host takes the place of the older.
 */
final class RumourQueue {
  private static final class Rumour {
    final MemberUpdate update;
    int sent;

    Rumour(MemberUpdate update) {
      this.update = update;
    }
  }

  private final Map<HostId, Rumour> rumours = new LinkedHashMap<>();

  void add(MemberUpdate update) {
    rumours.remove(update.host());
    rumours.put(update.host(), new Rumour(update));
  }

  boolean isEmpty() {
    return rumours.isEmpty();
  }

  /** Returns up to {@code max} rumours and counts them as sent. */
  List<MemberUpdate> take(int max, int transmissions) {
    List<Rumour> fresh = new ArrayList<>(rumours.values());
    fresh.sort(Comparator.comparingInt(r -> r.sent));
    List<MemberUpdate> taken = new ArrayList<>();
    for (Rumour r : fresh.subList(0, Math.min(max, fresh.size()))) {
      taken.add(r.update);
      r.sent++;
      if (r.sent >= transmissions) {
        rumours.remove(r.update.host());
      }
    }
    return taken;
  }
}
