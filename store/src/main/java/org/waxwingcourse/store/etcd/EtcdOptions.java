package org.waxwingcourse.store.etcd;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Where the store is and how long to wait for it.
 *
 * @param addresses base addresses, tried in turn
 * @param callTimeout how long one call may take over all addresses
 * @param watchRenewal how long one watch call lasts before it is renewed; bounds the time that a
 *     silent connection can hide a change
 */
public record EtcdOptions(List<URI> addresses, Duration callTimeout, Duration watchRenewal) {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_RENEWAL = Duration.ofSeconds(5);

  /** Copies the addresses and refuses an empty list. */
  public EtcdOptions {
    addresses = List.copyOf(addresses);
    if (addresses.isEmpty()) {
      throw new IllegalArgumentException("the store needs at least one address");
    }
  }

  /** Returns the default times for the given addresses. */
  public static EtcdOptions of(List<URI> addresses) {
    return new EtcdOptions(addresses, CALL_TIMEOUT, WATCH_RENEWAL);
  }
}
