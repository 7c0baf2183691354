package org.waxwingcourse.cli.report;

import java.util.Map;

/**
 * The error budget burn rates of one objective for one organisation.
 *
 * @param slo the service-level objective
 * @param organisation the organisation whose requests are counted
 * @param burnRates the burn rate in each window
 * @param longestWindowCount the event count over the longest window
 * @param alert the alert that the burn rates trigger
 */
public record BurnRow(
    ServiceLevelObjective slo,
    String organisation,
    Map<Window, Double> burnRates,
    EventCount longestWindowCount,
    Alert alert) {
  private static final double FAST_BURN_RATE = 14.4;
  private static final double SLOW_BURN_RATE = 6;
  private static final double STEADY_BURN_RATE = 1;

  /** Makes an unmodifiable copy of the map. */
  public BurnRow {
    burnRates = Map.copyOf(burnRates);
  }

  /** The severity of an alert. */
  public enum Alert {
    /** No action is needed. */
    NONE,
    /** The cause needs investigation during working hours. */
    TICKET,
    /** The cause needs immediate investigation. */
    PAGE
  }

  static BurnRow of(
      ServiceLevelObjective slo,
      String organisation,
      Map<Window, Double> burnRates,
      EventCount longestWindowCount) {
    return new BurnRow(slo, organisation, burnRates, longestWindowCount, alertOf(burnRates));
  }

  /**
   * Evaluates the multiwindow, multi-burn-rate alerts of the Site Reliability Workbook, chapter 5:
   * the long window shows that the burn is significant, the short window that it is still ongoing.
   */
  private static Alert alertOf(Map<Window, Double> burnRates) {
    boolean fastBurn = reachesInBoth(burnRates, Window.H1, Window.M5, FAST_BURN_RATE);
    boolean slowBurn = reachesInBoth(burnRates, Window.H6, Window.M30, SLOW_BURN_RATE);
    if (fastBurn || slowBurn) {
      return Alert.PAGE;
    }
    return reachesInBoth(burnRates, Window.D3, Window.H6, STEADY_BURN_RATE)
        ? Alert.TICKET
        : Alert.NONE;
  }

  private static boolean reachesInBoth(
      Map<Window, Double> burnRates, Window longer, Window shorter, double threshold) {
    return burnRates.get(longer) >= threshold && burnRates.get(shorter) >= threshold;
  }
}
