package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import org.waxwingcourse.store.Entry;

/** Parses an engine's entry in the store. */
@FunctionalInterface
public interface EngineEntryReader {
  /** Returns the engine, or none if the entry is invalid or describes no usable engine. */
  Option<EngineEntry> read(Entry entry);
}
