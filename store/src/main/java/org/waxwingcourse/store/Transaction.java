package org.waxwingcourse.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.id.Revision;

/**
 * An atomic compare-and-swap over several keys.
 *
 * @param comparisons comparisons that must all hold for the changes to take effect
 * @param changes changes that are applied together at one revision
 */
public record Transaction(List<Compare> comparisons, List<Change> changes) {
  /**
   * The largest number of comparisons, and of changes, that the store accepts in one transaction.
   */
  public static final int MAX_OPERATIONS = 128;

  /** Copies both lists. */
  public Transaction {
    comparisons = List.copyOf(comparisons);
    changes = List.copyOf(changes);
  }

  /** Returns a builder without comparisons or changes. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * A comparison that holds if the key was last modified at the given revision. {@link
   * Revision#NONE} means that the key does not exist.
   *
   * @param key the key to compare
   * @param modified the expected revision
   */
  public record Compare(String key, Revision modified) {}

  /** One change of a transaction. */
  public sealed interface Change {
    /** Returns the key that is changed. */
    String key();
  }

  /**
   * Stores a value.
   *
   * @param key the key
   * @param value the bytes
   * @param lease the lease to attach the entry to, or {@link LeaseId#NONE}
   */
  public record Put(String key, byte[] value, LeaseId lease) implements Change {}

  /**
   * Deletes a key.
   *
   * @param key the key
   */
  public record Delete(String key) implements Change {}

  /** Builds a transaction. */
  public static final class Builder {
    private final List<Compare> compares = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();

    private Builder() {}

    /** Requires that the key does not exist. */
    public Builder requireAbsent(String key) {
      return requireUnmodified(key, Revision.NONE);
    }

    /** Requires that the key was last modified at {@code modified}. */
    public Builder requireUnmodified(String key, Revision modified) {
      compares.add(new Compare(key, modified));
      return this;
    }

    /** Stores bytes. */
    public Builder put(String key, byte[] value) {
      return put(key, value, LeaseId.NONE);
    }

    /** Stores text as UTF-8. */
    public Builder put(String key, String value) {
      return put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Stores bytes that are deleted when the lease ends. */
    public Builder put(String key, byte[] value, LeaseId lease) {
      changes.add(new Put(key, value, lease));
      return this;
    }

    /** Deletes a key. */
    public Builder delete(String key) {
      changes.add(new Delete(key));
      return this;
    }

    /** Returns the transaction. */
    public Transaction build() {
      return new Transaction(compares, changes);
    }
  }
}
