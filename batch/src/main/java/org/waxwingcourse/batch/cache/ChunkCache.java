package org.waxwingcourse.batch.cache;

import io.vavr.control.Option;

/** Keeps copies of data that never changes in the store: input chunks and committed results. */
public interface ChunkCache {
  /** Keeps nothing. */
  ChunkCache NONE =
      new ChunkCache() {
        @Override
        public Option<byte[]> get(String key) {
          return Option.none();
        }

        @Override
        public void put(String key, byte[] value) {}
      };

  /** Returns the copy of what is stored under a key, none if it is not at hand. */
  Option<byte[]> get(String key);

  /** Keeps a copy, or does not. */
  void put(String key, byte[] value);
}
