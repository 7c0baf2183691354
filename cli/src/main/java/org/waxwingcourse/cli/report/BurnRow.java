package org.waxwingcourse.cli.report;

import java.util.Map;

/**
 * The burn of one objective for one organisation.
 *
 * @param target the objective and its target
 * @param organisation whose requests
 * @param burn burn rate by window
 * @param longest the counts over the longest window
 * @param alert what the burn calls for
 */
public record BurnRow(
    Target target, String organisation, Map<Window, Double> burn, LevelCount longest, Alert alert) {
  private static final double FAST = 14.4;
  private static final double SLOW = 6;
  private static final double STEADY = 1;

  /** Copies the map. */
  public BurnRow {
    burn = Map.copyOf(burn);
  }

  /** What a burn calls for. */
  public enum Alert {
    /** Nothing to do. */
    NONE,
    /** Look into it in working hours. */
    TICKET,
    /** Look into it now. */
    PAGE
  }

  static BurnRow of(
      Target target, String organisation, Map<Window, Double> burn, LevelCount longest) {
    return new BurnRow(target, organisation, burn, longest, alertOf(burn));
  }

  /**
   * Multiwindow, multi-burn-rate alerts of the Site Reliability Workbook, chapter 5: a long window
   * shows that it matters, a short one that it still goes on.
   */
  private static Alert alertOf(Map<Window, Double> burn) {
    boolean fast = both(burn, Window.H1, Window.M5, FAST);
    boolean slow = both(burn, Window.H6, Window.M30, SLOW);
    if (fast || slow) {
      return Alert.PAGE;
    }
    return both(burn, Window.D3, Window.H6, STEADY) ? Alert.TICKET : Alert.NONE;
  }

  private static boolean both(
      Map<Window, Double> burn, Window longer, Window shorter, double bound) {
    return burn.get(longer) >= bound && burn.get(shorter) >= bound;
  }
}
