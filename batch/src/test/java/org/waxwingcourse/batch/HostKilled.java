package org.waxwingcourse.batch;

/** Thrown out of a call to the store when the host that makes it dies there. */
final class HostKilled extends Error {
  HostKilled() {
    super("host killed", null, false, false);
  }
}
