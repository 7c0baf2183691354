package org.waxwingcourse.config.store;

import org.waxwingcourse.model.id.Revision;

/** How an attempt to change the configuration ended. */
public sealed interface ApplyOutcome {
  /**
   * The change is durable.
   *
   * @param revision a revision at which it is in the store
   */
  record Accepted(Revision revision) implements ApplyOutcome {}

  /**
   * The declarations equal what is in the store.
   *
   * @param revision the store's revision of the configuration
   */
  record Unchanged(Revision revision) implements ApplyOutcome {}

  /**
   * Another change came first; nothing was written.
   *
   * @param first the change that came first
   * @param revision its revision
   */
  record LostRace(Change first, Revision revision) implements ApplyOutcome {}

  /**
   * Nothing was written.
   *
   * @param message why
   */
  record NotWritten(String message) implements ApplyOutcome {}

  /**
   * The change may or may not be in the store; applying the same declarations again settles it.
   *
   * @param message what was seen last
   */
  record Unknown(String message) implements ApplyOutcome {}
}
