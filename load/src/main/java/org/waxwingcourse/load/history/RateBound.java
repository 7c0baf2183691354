package org.waxwingcourse.load.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.waxwingcourse.model.fleet.Rate;

/**
 * Checks that no time window of length T contains more than {@code burst + rate * T} admissions.
 *
 * <p>A trace records when an admission was requested and when it was answered; the decision was
 * made at an unknown time between the two. An excess is therefore reported only if no choice of
 * decision times satisfies the bound. With the admissions ordered by answer time, admissions i to j
 * were certainly decided between the request time of i and the answer time of j, so the bound is
 * checked on that widest window. With g(k) = k - rate * time(k), the largest excess over all
 * windows is the maximum drawdown of -g, which takes one pass.
 */
public final class RateBound {
  private static final double MILLIS_PER_SECOND = 1000;

  private RateBound() {}

  /**
   * Returns by how many requests the worst window exceeds the bound; zero or less if every window
   * satisfies it.
   */
  public static double excess(List<TracedAdmission> history, Rate rate) {
    List<TracedAdmission> admitted = new ArrayList<>(history);
    admitted.removeIf(a -> !a.admitted());
    admitted.sort(Comparator.comparingLong(TracedAdmission::answeredMillis));
    double maxExcess = -rate.burst();
    double minStart = Double.POSITIVE_INFINITY;
    for (int k = 0; k < admitted.size(); k++) {
      TracedAdmission admission = admitted.get(k);
      minStart =
          Math.min(minStart, k - rate.perSecond() * admission.askedMillis() / MILLIS_PER_SECOND);
      double end = k - rate.perSecond() * admission.answeredMillis() / MILLIS_PER_SECOND;
      maxExcess = Math.max(maxExcess, end - minStart + 1 - rate.burst());
    }
    return maxExcess;
  }
}
