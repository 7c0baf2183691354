package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Names an organisation, to which keys and rates belong.
 *
 * @param value the text form, never empty
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
  /** Refuses an absent or empty value. */
  public OrganisationId {
    Objects.requireNonNull(value);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("OrganisationId must not be empty");
    }
  }

  /** Returns the id with the given text form. */
  public static OrganisationId of(String value) {
    return new OrganisationId(value);
  }

  @Override
  public int compareTo(OrganisationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
