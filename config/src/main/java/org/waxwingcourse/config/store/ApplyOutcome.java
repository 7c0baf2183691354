package org.waxwingcourse.config.store;

import org.waxwingcourse.model.id.Revision;

/** The outcome of an attempt to change the configuration. */
public sealed interface ApplyOutcome {
  /**
   * The change is durable in the store.
   *
   * @param revision a revision at which the store contains the change
   */
  record Accepted(Revision revision) implements ApplyOutcome {}

  /**
   * The desired configuration equals the stored one, so nothing was written.
   *
   * @param revision the revision of the stored configuration
   */
  record Unchanged(Revision revision) implements ApplyOutcome {}

  /**
   * Another change was stored after the base revision; nothing was written.
   *
   * @param winner the change that was stored
   * @param revision the revision of that change
   */
  record LostRace(Change winner, Revision revision) implements ApplyOutcome {}

  /**
   * Nothing was written.
   *
   * @param message the reason
   */
  record NotWritten(String message) implements ApplyOutcome {}

  /**
   * It is unknown whether the change is in the store; applying the same declarations again
   * determines it.
   *
   * @param message the last failure
   */
  record Unknown(String message) implements ApplyOutcome {}
}
