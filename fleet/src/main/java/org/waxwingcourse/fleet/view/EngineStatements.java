package org.waxwingcourse.fleet.view;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * What boots of engines have said of themselves in answers, to this host or another. A statement is
 * removed once a later boot of the engine is listed; statements of engines that are not listed are
 * kept up to a limit, since an entry that has expired may come back.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the directory that owns it.
 */
final class EngineStatements {
  /** Maximum number of statements kept of engines that are not listed. */
  static final int MAX_UNLISTED = 1024;

  /** In the order in which the boots made their first statement. */
  private final Map<EngineBoot, EngineStatement> statements = new LinkedHashMap<>();

  /** Records that a boot is leaving; returns false if that is known already. */
  boolean addLeaving(EngineBoot boot, Map<UpstreamId, EngineEntry> listed) {
    EngineStatement known = statement(boot);
    statements.put(boot, known.withLeaving());
    removeOldestUnlisted(listed);
    return !known.leaving();
  }

  /** Returns what a boot has said. */
  EngineStatement statement(EngineBoot boot) {
    return statements.getOrDefault(boot, EngineStatement.EMPTY);
  }

  /**
   * Records a reading of a boot's limit; returns whether the limit changed. Of a boot that has
   * never named one, the lack of a limit is not recorded.
   */
  boolean addLimit(EngineBoot boot, LimitReading reading, Map<UpstreamId, EngineEntry> listed) {
    EngineStatement known = statement(boot);
    LimitReading latest = known.limit().latest(reading);
    if (latest.equals(known.limit()) || known.limit().order() == 0 && reading.limit().isEmpty()) {
      return false;
    }
    statements.put(boot, known.withLimit(latest));
    removeOldestUnlisted(listed);
    return !latest.limit().equals(known.limit().limit());
  }

  /** Records that a boot has named a limit that cannot be read; returns false if it has before. */
  boolean addUnreadable(EngineBoot boot, Map<UpstreamId, EngineEntry> listed) {
    EngineStatement known = statement(boot);
    statements.put(boot, known.withUnreadable());
    removeOldestUnlisted(listed);
    return !known.unreadable();
  }

  /** Returns the entry with what its boot has said. */
  EngineEntry applyTo(EngineEntry entry) {
    return statement(entry.boot()).leaving() ? entry.asLeaving() : entry;
  }

  /** Removes the statements that the entries in the store have made needless. */
  void removeSuperseded(Map<UpstreamId, EngineEntry> listed) {
    statements
        .keySet()
        .removeIf(
            boot -> {
              EngineEntry entry = listed.get(boot.id());
              return entry != null && entry.startedAtMillis() > boot.startedAtMillis();
            });
    removeOldestUnlisted(listed);
  }

  /** Returns the boots said to be leaving that {@code listed} contains as not leaving. */
  List<EngineBoot> leavingMissingIn(Map<UpstreamId, EngineEntry> listed) {
    return listed.values().stream()
        .filter(e -> !e.leaving() && applyTo(e).leaving())
        .map(EngineEntry::boot)
        .toList();
  }

  int size() {
    return statements.size();
  }

  private void removeOldestUnlisted(Map<UpstreamId, EngineEntry> listed) {
    if (statements.size() <= MAX_UNLISTED) {
      return;
    }
    List<EngineBoot> unlisted =
        new ArrayList<>(
            statements.keySet().stream().filter(b -> !listed.containsKey(b.id())).toList());
    int excess = Math.max(0, unlisted.size() - MAX_UNLISTED);
    unlisted.subList(0, excess).forEach(statements::remove);
  }
}
