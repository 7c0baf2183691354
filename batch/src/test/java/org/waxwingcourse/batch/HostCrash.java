package org.waxwingcourse.batch;

/** Thrown by a store call in which the calling host crashes. */
final class HostCrash extends Error {
  HostCrash() {
    super("simulated host crash", null, false, false);
  }
}
