package org.waxwingcourse.config.store;

/** Names of the store's entries that hold the configuration. */
public final class ConfigurationKeys {
  /** Prefix of all of them, and of the roster of holders. */
  public static final String PREFIX = "/waxwing/config/";

  /** Prefix of the head entries, read together. */
  public static final String HEADS = PREFIX + "head/";

  /** Rewritten by each accepted change of the configuration. */
  public static final String HEAD = HEADS + "configuration";

  /** The hosts that may hold shares of rates, rewritten when they change. */
  public static final String ROSTER = HEADS + "roster";

  static final String DEFAULTS = PREFIX + "defaults";
  static final String ORGANISATIONS = PREFIX + "organisations/";
  static final String ENGINES = PREFIX + "engines/";
  static final String SERVICES = PREFIX + "services/";
  static final String EXCEPTIONS = PREFIX + "exceptions/";

  private ConfigurationKeys() {}

  /** Tells whether an entry under the prefix belongs to the configuration. */
  public static boolean isConfiguration(String key) {
    return !key.equals(ROSTER);
  }
}
