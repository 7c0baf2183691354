package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import org.waxwingcourse.store.Entry;

/** Reads an entry of the store that names an engine. */
@FunctionalInterface
public interface EngineEntryReader {
  /** Returns the engine, or none if the entry cannot be read or names no engine to use. */
  Option<EngineEntry> read(Entry entry);
}
