package org.waxwingcourse.policy.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.HostId;

/**
 * Recent updates that this host disseminates, the least often sent first, each a bounded number of
 * times. A newer update about a host replaces the older one.
 */
final class RumourQueue {
  private static final class Rumour {
    final MemberUpdate update;
    int sentCount;

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

  /** Returns up to {@code max} rumours and counts a transmission of each. */
  List<MemberUpdate> take(int max, int maxTransmissions) {
    List<Rumour> leastSentFirst = new ArrayList<>(rumours.values());
    leastSentFirst.sort(Comparator.comparingInt(r -> r.sentCount));
    List<MemberUpdate> taken = new ArrayList<>();
    for (Rumour r : leastSentFirst.subList(0, Math.min(max, leastSentFirst.size()))) {
      taken.add(r.update);
      r.sentCount++;
      if (r.sentCount >= maxTransmissions) {
        rumours.remove(r.update.host());
      }
    }
    return taken;
  }
}
