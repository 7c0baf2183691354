package org.waxwingcourse.policy.configuration;

import java.util.List;
import org.waxwingcourse.model.id.Revision;

/**
 * The parts of a document that were modified after one revision and up to another.
 *
 * @param base the delta applies to a document at this revision or a later one
 * @param target revision of the document after the delta has been applied
 * @param parts every part modified after {@code base}
 */
public record Delta(Revision base, Revision target, List<Part> parts) {
  /** Copies the parts. */
  public Delta {
    parts = List.copyOf(parts);
  }

  /** Returns the delta with the given values. */
  public static Delta of(Revision base, Revision target, List<Part> parts) {
    return new Delta(base, target, parts);
  }

  /** Returns the delta that contains all parts of a document. */
  public static Delta whole(Revision target, List<Part> parts) {
    return new Delta(Revision.NONE, target, parts);
  }
}
