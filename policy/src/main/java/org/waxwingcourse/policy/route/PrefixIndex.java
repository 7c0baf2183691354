package org.waxwingcourse.policy.route;

import java.util.LinkedHashMap;
import java.util.Map;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Records the engine to which each prompt prefix was last routed. Engines publish their cache
 * contents late and incompletely, so the index contains routed prefixes instead of cached ones; a
 * wrong entry costs only a prefill. The least recently used prefixes are evicted.
 *
 * <p>Thread-safe.
 */
public final class PrefixIndex {
  private static final int BLOCK_CHARS = 64;
  private static final int MAX_BLOCKS = 32;

  private final Map<Long, UpstreamId> engineByHash;

  private PrefixIndex(int maxBlocks) {
    engineByHash =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, UpstreamId> eldest) {
            return size() > maxBlocks;
          }
        };
  }

  /** Returns an empty index with a capacity of {@code maxBlocks} blocks. */
  public static PrefixIndex of(int maxBlocks) {
    return new PrefixIndex(maxBlocks);
  }

  /** Records that the prompt was routed to the engine. */
  public synchronized void recordRouted(String prompt, UpstreamId engine) {
    long hash = 0;
    for (int i = 0; i < countBlocks(prompt); i++) {
      hash = extendHash(hash, prompt, i);
      engineByHash.put(hash, engine);
    }
  }

  /** Removes all prefixes of an engine, because it was restarted. */
  public synchronized void removeEngine(UpstreamId engine) {
    engineByHash.values().removeIf(engine::equals);
  }

  /**
   * Returns the fraction of the prompt's complete blocks, from its start, that were last routed to
   * the engine; from zero to one.
   */
  public synchronized double routedFraction(String prompt, UpstreamId engine) {
    int blocks = countBlocks(prompt);
    long hash = 0;
    int matchedBlocks = 0;
    while (matchedBlocks < blocks) {
      hash = extendHash(hash, prompt, matchedBlocks);
      if (!engine.equals(engineByHash.get(hash))) {
        break;
      }
      matchedBlocks++;
    }
    return blocks == 0 ? 0 : matchedBlocks / (double) blocks;
  }

  private static int countBlocks(String prompt) {
    return Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
  }

  private static long extendHash(long hash, String prompt, int block) {
    long value = hash;
    for (int i = block * BLOCK_CHARS; i < (block + 1) * BLOCK_CHARS; i++) {
      value = value * 0x100000001b3L ^ prompt.charAt(i);
    }
    return value ^ value >>> 29;
  }
}
