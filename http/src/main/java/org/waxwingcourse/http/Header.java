package org.waxwingcourse.http;

/**
 * One HTTP header.
 *
 * @param name the field name
 * @param value the field value
 */
public record Header(String name, String value) {
  /** Returns the header with the given name and value. */
  public static Header of(String name, String value) {
    return new Header(name, value);
  }
}
