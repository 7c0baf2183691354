package org.waxwingcourse.config.store;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Delta;
import org.waxwingcourse.policy.configuration.Document;
import org.waxwingcourse.policy.configuration.Part;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/** Converts entries of the store to documents and deltas. */
public final class StoredDocument {
  private StoredDocument() {}

  /** Returns the configuration in a snapshot of the whole prefix. */
  public static Document configuration(Snapshot snapshot) {
    List<Part> parts = configurationParts(snapshot.entries());
    Revision revision = revision(ConfigurationKeys.HEAD, snapshot.entries()).orElse(Revision.NONE);
    return Document.EMPTY.with(Delta.whole(revision, parts));
  }

  /**
   * Returns the change of the configuration in watched entries, or empty if they do not include the
   * head entry.
   *
   * @param base the configuration's revision before the change
   */
  public static Optional<Delta> configurationDelta(Revision base, List<Entry> puts) {
    return revision(ConfigurationKeys.HEAD, puts)
        .map(target -> Delta.of(base, target, configurationParts(puts)));
  }

  /** Returns a delta with the whole roster for each revision of it in the entries, oldest first. */
  public static List<Delta> rosterDeltas(List<Entry> entries) {
    return entries.stream()
        .filter(e -> e.key().equals(ConfigurationKeys.ROSTER))
        .sorted(Comparator.comparing(Entry::modified))
        .map(e -> Delta.whole(e.modified(), List.of(toPart(e))))
        .toList();
  }

  /** Returns the latest revision of the entries with the given key, or empty if there are none. */
  public static Optional<Revision> revision(String key, List<Entry> entries) {
    return entries.stream()
        .filter(e -> e.key().equals(key))
        .map(Entry::modified)
        .reduce((a, b) -> b.isAfter(a) ? b : a);
  }

  private static List<Part> configurationParts(List<Entry> entries) {
    return entries.stream()
        .filter(e -> ConfigurationKeys.isConfigurationKey(e.key()))
        .map(StoredDocument::toPart)
        .toList();
  }

  private static Part toPart(Entry e) {
    return Part.of(e.key(), e.modified(), e.value());
  }
}
