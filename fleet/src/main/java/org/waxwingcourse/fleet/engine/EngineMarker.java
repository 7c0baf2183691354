package org.waxwingcourse.fleet.engine;

import org.waxwingcourse.model.id.Revision;

/** Adds to the entries of engines what is known of them besides their entries and answers. */
public interface EngineMarker {
  /** Adds nothing. */
  EngineMarker NONE = (entry) -> entry;

  /** Returns the entry with what restricts the use of the engine. */
  EngineEntry mark(EngineEntry entry);

  /** Learns that an entry was written at a revision; called again for entries seen before. */
  default void observe(EngineEntry entry, Revision written) {}
}
