package org.waxwingcourse.policy.configuration;

import java.util.List;
import org.waxwingcourse.model.id.Revision;

/**
 * The parts of a document that changed after one revision, up to another.
 *
 * @param base a host at this revision or later can apply the delta
 * @param target the document's revision once it is applied
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

  /** Returns the delta that carries a whole document. */
  public static Delta whole(Revision target, List<Part> parts) {
    return new Delta(Revision.NONE, target, parts);
  }
}
