package org.waxwingcourse.policy.configuration;

import java.util.Arrays;
import java.util.Objects;
import org.waxwingcourse.model.id.Revision;

/**
 * One stored entry of a document.
 *
 * @param name the entry's key
 * @param modified the revision that last modified it
 * @param content the content; neither copied nor modified
 */
public record Part(String name, Revision modified, byte[] content) {
  /** Returns the part with the given values. */
  public static Part of(String name, Revision modified, byte[] content) {
    return new Part(name, modified, content);
  }

  /** Returns whether both parts have the same content. */
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
