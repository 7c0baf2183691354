package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.fleet.Rate;

/**
 * Checks a recorded history of admissions against a rate, independently of the code that admitted
 * them. With the i-th admission at t(i) and g(i) = i - rate * t(i), the window from i to j holds
 * the bound exactly if g(j) - g(i) + 1 is at most the burst; the largest value over all windows
 * needs one pass.
 */
final class AdmissionHistory {
  private final List<Instant> admitted = new ArrayList<>();

  void add(Instant at) {
    admitted.add(at);
  }

  int size() {
    return admitted.size();
  }

  /** Returns by how many requests the worst window exceeds the bound, negative if none does. */
  double overrun(Rate rate) {
    if (admitted.isEmpty()) {
      return -rate.burst();
    }
    Instant start = admitted.get(0);
    double lowest = Double.POSITIVE_INFINITY;
    double worst = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < admitted.size(); i++) {
      double seconds = Duration.between(start, admitted.get(i)).toNanos() / 1e9;
      double g = i - rate.perSecond() * seconds;
      lowest = Math.min(lowest, g);
      worst = Math.max(worst, g - lowest + 1 - rate.burst());
    }
    return worst;
  }
}
