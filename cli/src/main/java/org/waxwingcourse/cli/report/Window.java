package org.waxwingcourse.cli.report;

import java.time.Duration;

/** The spans over which burn is counted. */
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

  /** Returns the short name in tables. */
  public String label() {
    return label;
  }

  /** Returns how long it is. */
  public Duration length() {
    return length;
  }
}
