package org.waxwingcourse.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A prefix cache of bounded size that evicts the least recently used block. Not thread-safe. */
final class PrefixCache {
  private final int maxBlocks;
  private final Consumer<CacheEvent> listener;
  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private long number;

  PrefixCache(int maxTokens, Consumer<CacheEvent> listener) {
    this.maxBlocks = maxTokens / Prompt.BLOCK_TOKENS;
    this.listener = listener;
  }

  /** Returns how many tokens at the start of the prompt are cached. */
  int cachedTokens(Prompt prompt) {
    int found = 0;
    for (String hash : prompt.blockHashes()) {
      if (blocks.get(hash) == null) {
        break;
      }
      found++;
    }
    return found * Prompt.BLOCK_TOKENS;
  }

  void store(Prompt prompt) {
    List<String> hashes = prompt.blockHashes();
    for (String hash : hashes) {
      if (blocks.put(hash, true) == null) {
        announce(CacheEvent.STORED, hash);
      }
    }
    evict();
  }

  int sizeTokens() {
    return blocks.size() * Prompt.BLOCK_TOKENS;
  }

  private void evict() {
    Iterator<String> oldest = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      String hash = oldest.next();
      oldest.remove();
      announce(CacheEvent.REMOVED, hash);
    }
  }

  private void announce(String kind, String hash) {
    number++;
    listener.accept(new CacheEvent(number, kind, hash));
  }
}
