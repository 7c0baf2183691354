package org.waxwingcourse.policy.route;

import java.util.LinkedHashMap;
import java.util.Map;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Remembers which engine was last given each start of a prompt. Engines publish what they cache
 * late and with gaps, so the index holds what was routed, not what is cached: a wrong entry costs a
 * prefill and nothing else. The least recently used starts are forgotten.
 *
 * <p>Safe for use by several threads.
 */
public final class PrefixIndex {
  private static final int BLOCK_CHARS = 64;
  private static final int MAX_BLOCKS = 32;

  private final Map<Long, UpstreamId> engines;

  private PrefixIndex(int maxBlocks) {
    engines =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, UpstreamId> eldest) {
            return size() > maxBlocks;
          }
        };
  }

  /** Returns an empty index that remembers up to {@code maxBlocks} blocks. */
  public static PrefixIndex of(int maxBlocks) {
    return new PrefixIndex(maxBlocks);
  }

  /** The prompt was sent to the engine. */
  public synchronized void routed(String prompt, UpstreamId engine) {
    long hash = 0;
    for (int i = 0; i < blocksOf(prompt); i++) {
      hash = next(hash, prompt, i);
      engines.put(hash, engine);
    }
  }

  /** Forgets what the engine had, because it was restarted. */
  public synchronized void forget(UpstreamId engine) {
    engines.values().removeIf(engine::equals);
  }

  /** Returns how much of the prompt's whole blocks the engine was given, from zero to one. */
  public synchronized double share(String prompt, UpstreamId engine) {
    int blocks = blocksOf(prompt);
    long hash = 0;
    int found = 0;
    while (found < blocks) {
      hash = next(hash, prompt, found);
      if (!engine.equals(engines.get(hash))) {
        break;
      }
      found++;
    }
    return blocks == 0 ? 0 : found / (double) blocks;
  }

  private static int blocksOf(String prompt) {
    return Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
  }

  private static long next(long hash, String prompt, int block) {
    long value = hash;
    for (int i = block * BLOCK_CHARS; i < (block + 1) * BLOCK_CHARS; i++) {
      value = value * 0x100000001b3L ^ prompt.charAt(i);
    }
    return value ^ value >>> 29;
  }
}
