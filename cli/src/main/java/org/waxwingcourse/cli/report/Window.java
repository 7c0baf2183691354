package org.waxwingcourse.cli.report;

import java.time.Duration;

/** The time windows over which burn rates are computed. */
public enum Window {
  /** Five minutes. */
  M5("5m", Duration.ofMinutes(5)),
  /** Half an hour. */
  M30("30m", Duration.ofMinutes(30)),
  /** One hour. */
  H1("1h", Duration.ofHours(1)),
  /** Six hours. */
  H6("6h", Duration.ofHours(6)),
  /** Three days. */
  D3("3d", Duration.ofDays(3));

  private final String label;
  private final Duration length;

  Window(String label, Duration length) {
    this.label = label;
    this.length = length;
  }

  /** Returns the short name of the window in tables. */
  public String label() {
    return label;
  }

  /** Returns the length of the window. */
  public Duration length() {
    return length;
  }
}
