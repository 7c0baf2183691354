package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.fleet.Rate;

/**
 * Checks a recorded history of admissions against a rate, independently of the code under test.
 * With the i-th admission at t(i) and g(i) = i - rate * t(i), the window from i to j satisfies the
 * bound if and only if g(j) - g(i) + 1 is at most the burst. The largest value over all windows is
 * computed in one pass.
 */
final class AdmissionHistory {
  private final List<Instant> admissions = new ArrayList<>();

  void add(Instant at) {
    admissions.add(at);
  }

  int size() {
    return admissions.size();
  }

  /**
   * Returns the number of requests by which the worst window exceeds the bound; negative if no
   * window exceeds it.
   */
  double overrun(Rate rate) {
    if (admissions.isEmpty()) {
      return -rate.burst();
    }
    Instant start = admissions.get(0);
    double lowest = Double.POSITIVE_INFINITY;
    double largest = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < admissions.size(); i++) {
      double seconds = Duration.between(start, admissions.get(i)).toNanos() / 1e9;
      double g = i - rate.perSecond() * seconds;
      lowest = Math.min(lowest, g);
      largest = Math.max(largest, g - lowest + 1 - rate.burst());
    }
    return largest;
  }
}
