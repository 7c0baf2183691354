package org.waxwingcourse.fleet.stream;

/** Why an event is not the next one of its stream. */
public enum OutOfPlace {
  /** Another run has been begun since. */
  REPLACED_RUN("another run sends the stream now"),
  /** The run is of another software than the stream. */
  OTHER_SOFTWARE("another version began the stream"),
  /** The event is not the one after the last. */
  NOT_NEXT("it is not the next event");

  private final String description;

  OutOfPlace(String description) {
    this.description = description;
  }

  @Override
  public String toString() {
    return description;
  }
}
