package org.waxwingcourse.load.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.waxwingcourse.model.fleet.Rate;

/**
 * Checks that no window of a history holds more than {@code burst + rate * T} admissions.
 *
 * <p>Each decision fell somewhere between its question and its answer, so only a history that no
 * choice of instants explains breaks the bound. Ordered by answer, the admissions from i to j are
 * certain to lie in the window from question i to answer j at the widest; the widest window is the
 * one that the bound is checked on. With g(k) = k - rate * time(k) the largest excess over all
 * windows needs one pass (the maximum drawdown of g, turned over).
 */
public final class RateBound {
  private static final double MILLIS = 1000;

  private RateBound() {}

  /**
   * Returns by how many requests the worst window exceeds the bound, at most zero where all hold.
   */
  public static double excess(List<TracedAdmission> history, Rate rate) {
    List<TracedAdmission> admitted = new ArrayList<>(history);
    admitted.removeIf(a -> !a.admitted());
    admitted.sort(Comparator.comparingLong(TracedAdmission::answeredMillis));
    double worst = -rate.burst();
    double lowest = Double.POSITIVE_INFINITY;
    for (int k = 0; k < admitted.size(); k++) {
      TracedAdmission a = admitted.get(k);
      lowest = Math.min(lowest, k - rate.perSecond() * a.askedMillis() / MILLIS);
      double highest = k - rate.perSecond() * a.answeredMillis() / MILLIS;
      worst = Math.max(worst, highest - lowest + 1 - rate.burst());
    }
    return worst;
  }
}
