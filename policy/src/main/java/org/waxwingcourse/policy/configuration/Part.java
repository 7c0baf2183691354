package org.waxwingcourse.policy.configuration;

import java.util.Arrays;
import java.util.Objects;
import org.waxwingcourse.model.id.Revision;

/**
 * One stored entry of a document.
 *
 * @param name the entry's key
 * @param modified the revision that last changed it
 * @param content its bytes, not copied and never changed
 */
public record Part(String name, Revision modified, byte[] content) {
  /** Returns the part with the given values. */
  public static Part of(String name, Revision modified, byte[] content) {
    return new Part(name, modified, content);
  }

  /** Tells whether both hold the same bytes. */
  public boolean hasContentOf(Part other) {
    return Arrays.equals(content, other.content);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Part p
        && name.equals(p.name)
        && modified.equals(p.modified)
        && Arrays.equals(content, p.content);
  }

  @Override
  public int hashCode() {
    return Objects.hash(name, modified);
  }

  @Override
  public String toString() {
    return name + "@" + modified.value();
  }
}
