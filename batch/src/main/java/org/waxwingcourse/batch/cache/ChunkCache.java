package org.waxwingcourse.batch.cache;

import io.vavr.control.Option;

/** A cache of data that never changes in the store: input chunks and committed results. */
public interface ChunkCache {
  /** A cache that stores nothing. */
  ChunkCache NONE =
      new ChunkCache() {
        @Override
        public Option<byte[]> get(String key) {
          return Option.none();
        }

        @Override
        public void put(String key, byte[] value) {}
      };

  /** Returns the cached value of a key, or none if the key is not in the cache. */
  Option<byte[]> get(String key);

  /** Offers a value to the cache, which may ignore it. */
  void put(String key, byte[] value);
}
