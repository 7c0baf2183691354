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
  private long lastEventNumber;

  PrefixCache(int maxTokens, Consumer<CacheEvent> listener) {
    this.maxBlocks = maxTokens / Prompt.BLOCK_TOKENS;
    this.listener = listener;
  }

  /** Returns the length of the cached prefix of the prompt, in tokens. */
  int cachedTokens(Prompt prompt) {
    int cachedBlocks = 0;
    for (String hash : prompt.blockHashes()) {
      if (blocks.get(hash) == null) {
        break;
      }
      cachedBlocks++;
    }
    return cachedBlocks * Prompt.BLOCK_TOKENS;
  }

  void store(Prompt prompt) {
    List<String> hashes = prompt.blockHashes();
    for (String hash : hashes) {
      if (blocks.put(hash, true) == null) {
        publishEvent(CacheEvent.STORED, hash);
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
      publishEvent(CacheEvent.REMOVED, hash);
    }
  }

  private void publishEvent(String kind, String hash) {
    lastEventNumber++;
    listener.accept(new CacheEvent(lastEventNumber, kind, hash));
  }
}
