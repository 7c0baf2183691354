package org.waxwingcourse.policy.configuration;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.waxwingcourse.model.id.Revision;

/**
 * A versioned set of stored entries. Every change also rewrites the document's head entry, so the
 * revision of the head orders the changes. Entries are overwritten but never deleted, so the parts
 * modified after a revision are the complete difference from it.
 *
 * @param revision the revision of the last change, {@link Revision#NONE} for an empty document
 * @param parts the parts by name
 */
public record VersionedDocument(Revision revision, SortedMap<String, DocumentPart> parts) {
  /** The document before its first change. */
  public static final VersionedDocument EMPTY =
      new VersionedDocument(Revision.NONE, new TreeMap<>());

  /** Copies the parts. */
  public VersionedDocument {
    parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
  }

  /** Returns the changes that a host at {@code base} lacks. */
  public DocumentDelta changesSince(Revision base) {
    List<DocumentPart> newer =
        parts.values().stream().filter(p -> p.modified().isAfter(base)).toList();
    return DocumentDelta.of(base, revision, newer);
  }

  /** Returns a copy of this document in which the delta's parts replace those of the same name. */
  public VersionedDocument withDelta(DocumentDelta delta) {
    SortedMap<String, DocumentPart> merged = new TreeMap<>(parts);
    for (DocumentPart part : delta.parts()) {
      merged.put(part.name(), part);
    }
    return new VersionedDocument(delta.target(), merged);
  }
}
