package org.waxwingcourse.config.store;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.DocumentDelta;
import org.waxwingcourse.policy.configuration.DocumentPart;
import org.waxwingcourse.policy.configuration.VersionedDocument;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Snapshot;

/** Converts entries of the store to documents and deltas. */
public final class StoredDocuments {
  private StoredDocuments() {}

  /** Returns the configuration in a snapshot of the whole prefix. */
  public static VersionedDocument configurationOf(Snapshot snapshot) {
    List<DocumentPart> parts = configurationParts(snapshot.entries());
    Revision revision =
        latestRevision(ConfigurationKeys.HEAD, snapshot.entries()).orElse(Revision.NONE);
    return VersionedDocument.EMPTY.withDelta(DocumentDelta.whole(revision, parts));
  }

  /**
   * Returns the change of the configuration in watched entries, or empty if they do not include the
   * head entry.
   *
   * @param base the configuration's revision before the change
   */
  public static Optional<DocumentDelta> configurationDelta(Revision base, List<Entry> puts) {
    return latestRevision(ConfigurationKeys.HEAD, puts)
        .map(target -> DocumentDelta.of(base, target, configurationParts(puts)));
  }

  /** Returns a delta with the whole roster for each revision of it in the entries, oldest first. */
  public static List<DocumentDelta> rosterDeltas(List<Entry> entries) {
    return entries.stream()
        .filter(e -> e.key().equals(ConfigurationKeys.ROSTER))
        .sorted(Comparator.comparing(Entry::modified))
        .map(e -> DocumentDelta.whole(e.modified(), List.of(toPart(e))))
        .toList();
  }

  /** Returns the latest revision of the entries with the given key, or empty if there are none. */
  public static Optional<Revision> latestRevision(String key, List<Entry> entries) {
    return entries.stream()
        .filter(e -> e.key().equals(key))
        .map(Entry::modified)
        .reduce((a, b) -> b.isAfter(a) ? b : a);
  }

  private static List<DocumentPart> configurationParts(List<Entry> entries) {
    return entries.stream()
        .filter(e -> ConfigurationKeys.isConfigurationKey(e.key()))
        .map(StoredDocuments::toPart)
        .toList();
  }

  private static DocumentPart toPart(Entry e) {
    return DocumentPart.of(e.key(), e.modified(), e.value());
  }
}
