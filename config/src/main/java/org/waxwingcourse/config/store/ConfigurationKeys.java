package org.waxwingcourse.config.store;

/** Keys of the store entries that contain the configuration. */
public final class ConfigurationKeys {
  /** Prefix of all configuration keys and of the key of the roster. */
  public static final String PREFIX = "/waxwing/config/";

  /** Prefix of the head entries, which are read together. */
  public static final String HEADS = PREFIX + "head/";

  /** Key of the head entry that each accepted change of the configuration rewrites. */
  public static final String HEAD = HEADS + "configuration";

  /**
   * Key of the roster of hosts that may hold shares of rates; rewritten when the roster changes.
   */
  public static final String ROSTER = HEADS + "roster";

  static final String DEFAULTS = PREFIX + "defaults";
  static final String ORGANISATIONS = PREFIX + "organisations/";
  static final String ENGINES = PREFIX + "engines/";
  static final String SERVICES = PREFIX + "services/";
  static final String EXCEPTIONS = PREFIX + "exceptions/";

  private ConfigurationKeys() {}

  /** Tells whether a key under {@link #PREFIX} belongs to the configuration. */
  public static boolean isConfigurationKey(String key) {
    return !key.equals(ROSTER);
  }
}
