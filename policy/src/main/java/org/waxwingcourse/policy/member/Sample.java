package org.waxwingcourse.policy.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Samples without replacement, using an injected random source. */
final class Sample {
  private Sample() {}

  /** Returns up to {@code count} of the items in random order (Fisher-Yates shuffle). */
  static <T> List<T> of(Collection<T> items, int count, RandomGenerator random) {
    List<T> shuffled = new ArrayList<>(items);
    int drawn = Math.min(count, shuffled.size());
    for (int i = 0; i < drawn; i++) {
      Collections.swap(shuffled, i, i + random.nextInt(shuffled.size() - i));
    }
    return shuffled.subList(0, drawn);
  }
}
