package org.waxwingcourse.store;

/** A watch in progress. */
public interface Watch {
  /** Ends the watch; the listener hears nothing more. */
  void close();
}
