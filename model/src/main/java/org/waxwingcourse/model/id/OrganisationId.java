package org.waxwingcourse.model.id;

import java.util.Objects;

/**
 * Names an organisation, which owns keys and has a rate.
 *
 * @param value the text form, not empty
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
  /** Rejects a null or empty value. */
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

  // Written out: a start would spend milliseconds on linking the generated methods of each record.

  @Override
  public boolean equals(Object other) {
    return other instanceof OrganisationId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
