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
public record Document(Revision revision, SortedMap<String, Part> parts) {
  /** The document before its first change. */
  public static final Document EMPTY = new Document(Revision.NONE, new TreeMap<>());

  /** Copies the parts. */
  public Document {
    parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
  }

  /** Returns the changes that a host at {@code base} lacks. */
  public Delta since(Revision base) {
    List<Part> newer = parts.values().stream().filter(p -> p.modified().isAfter(base)).toList();
    return Delta.of(base, revision, newer);
  }

  /** Returns a copy of this document in which the delta's parts replace those of the same name. */
  public Document with(Delta delta) {
    SortedMap<String, Part> merged = new TreeMap<>(parts);
    for (Part part : delta.parts()) {
      merged.put(part.name(), part);
    }
    return new Document(delta.target(), merged);
  }
}
