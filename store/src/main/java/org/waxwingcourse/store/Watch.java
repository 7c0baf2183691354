package org.waxwingcourse.store;

/** An open watch. */
public interface Watch {
  /** Closes the watch. The listener is not called any more. */
  void close();
}
