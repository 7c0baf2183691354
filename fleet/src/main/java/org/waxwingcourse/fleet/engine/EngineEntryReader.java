package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import org.waxwingcourse.store.Entry;

/** Parses an engine's entry in the store. */
@FunctionalInterface
public interface EngineEntryReader {
  /** Returns the engine, or none if the entry is invalid or describes no usable engine. */
  Option<EngineEntry> read(Entry entry);

  /**
   * Returns a reader that takes an entry on which this one fails for one that describes no engine:
   * anyone may write an entry, and the others hold.
   */
  default EngineEntryReader ignoringFailures() {
    return entry -> {
      try {
        return read(entry);
      } catch (RuntimeException | StackOverflowError e) {
        return Option.none();
      }
    };
  }
}
