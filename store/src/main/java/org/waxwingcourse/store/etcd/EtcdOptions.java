package org.waxwingcourse.store.etcd;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Addresses and timeouts of the store client.
 *
 * @param addresses base addresses, tried in order
 * @param callTimeout time limit of one call over all addresses that it tries
 * @param watchRenewal duration of one watch call before a new call replaces it; bounds how long a
 *     connection that delivers nothing can delay a change
 */
public record EtcdOptions(List<URI> addresses, Duration callTimeout, Duration watchRenewal) {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_RENEWAL = Duration.ofSeconds(5);

  /** Copies the addresses and rejects an empty list. */
  public EtcdOptions {
    addresses = List.copyOf(addresses);
    if (addresses.isEmpty()) {
      throw new IllegalArgumentException("at least one store address is required");
    }
  }

  /** Returns options with the default timeouts for the given addresses. */
  public static EtcdOptions of(List<URI> addresses) {
    return new EtcdOptions(addresses, CALL_TIMEOUT, WATCH_RENEWAL);
  }
}
