package org.waxwingcourse.fleet.view;

import java.util.ArrayList;
import java.util.Comparator;
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

  private long lastVersion;

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
   * never named one, the lack of a limit is not recorded. A reading that is outdated counts as a
   * change of what other hosts have to be told, since the host that it comes from does not know
   * better.
   */
  boolean addLimit(EngineBoot boot, LimitReading reading, Map<UpstreamId, EngineEntry> listed) {
    EngineStatement known = statement(boot);
    if (known.limit().order() == 0 && reading.limit().isEmpty()) {
      return false;
    }
    LimitReading latest = known.limit().latest(reading);
    boolean agrees = known.limit().limit().equals(reading.limit());
    statements.put(boot, known.withLimit(latest, agrees ? known.limitVersion() : ++lastVersion));
    removeOldestUnlisted(listed);
    return !latest.limit().equals(known.limit().limit());
  }

  /** Returns the first changes of limits after the given one, in order. */
  List<LimitChange> limitChangesAfter(long version, int max) {
    if (version >= lastVersion) {
      return List.of();
    }
    return statements.entrySet().stream()
        .filter(e -> e.getValue().limitVersion() > version)
        .sorted(Comparator.comparingLong(e -> e.getValue().limitVersion()))
        .limit(max)
        .map(e -> new LimitChange(e.getKey(), e.getValue().limit(), e.getValue().limitVersion()))
        .toList();
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
    EngineStatement statement = statement(entry.boot());
    EngineEntry limited = entry.withLimit(statement.limit().limit());
    return statement.leaving() ? limited.asLeaving() : limited;
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
