package org.waxwingcourse.fleet.view;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * The boots of engines that have said in an answer that they are leaving. A mark is never taken
 * back. It is removed once a later boot of the engine is listed; marks of engines that are not
 * listed are kept up to a limit, since an entry that has expired may come back.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the directory that owns it.
 */
final class LeavingMarks {
  /** Maximum number of marks kept of engines that are not listed. */
  static final int MAX_UNLISTED = 1024;

  /** In the order in which the marks were set. */
  private final Set<EngineBoot> boots = new LinkedHashSet<>();

  /** Marks a boot; returns false if it is marked already. */
  boolean add(EngineBoot boot, Map<UpstreamId, EngineEntry> listed) {
    boolean added = boots.add(boot);
    removeOldestUnlisted(listed);
    return added;
  }

  /** Returns the entry, as that of a leaving engine if its boot is marked. */
  EngineEntry applyTo(EngineEntry entry) {
    return boots.contains(entry.boot()) ? entry.asLeaving() : entry;
  }

  /** Removes the marks that the entries in the store have made needless. */
  void removeSuperseded(Map<UpstreamId, EngineEntry> listed) {
    boots.removeIf(
        boot -> {
          EngineEntry entry = listed.get(boot.id());
          return entry != null && entry.startedAtMillis() > boot.startedAtMillis();
        });
    removeOldestUnlisted(listed);
  }

  /** Returns the marked boots that {@code listed} contains as not leaving. */
  List<EngineBoot> missingIn(Map<UpstreamId, EngineEntry> listed) {
    return listed.values().stream()
        .filter(e -> !e.leaving())
        .map(EngineEntry::boot)
        .filter(boots::contains)
        .toList();
  }

  int size() {
    return boots.size();
  }

  private void removeOldestUnlisted(Map<UpstreamId, EngineEntry> listed) {
    if (boots.size() <= MAX_UNLISTED) {
      return;
    }
    List<EngineBoot> unlisted =
        new ArrayList<>(boots.stream().filter(b -> !listed.containsKey(b.id())).toList());
    int excess = Math.max(0, unlisted.size() - MAX_UNLISTED);
    unlisted.subList(0, excess).forEach(boots::remove);
  }
}
