package org.waxwingcourse.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.waxwingcourse.model.id.Revision;

/**
 * A key with its value.
 *
 * @param key the key
 * @param value the stored bytes, at most one megabyte
 * @param created the revision that created the key
 * @param modified the revision that last modified the key
 * @param lease the lease that the entry is attached to, or {@link LeaseId#NONE}
 */
public record Entry(String key, byte[] value, Revision created, Revision modified, LeaseId lease) {
  /** Returns the value decoded as UTF-8. */
  public String text() {
    return new String(value, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Entry e
        && key.equals(e.key)
        && Arrays.equals(value, e.value)
        && created.equals(e.created)
        && modified.equals(e.modified)
        && lease.equals(e.lease);
  }

  @Override
  public int hashCode() {
    return 31 * key.hashCode() + modified.hashCode();
  }

  @Override
  public String toString() {
    return "Entry[" + key + "@" + modified.value() + ", " + value.length + " B]";
  }
}
