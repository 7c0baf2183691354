package org.waxwingcourse.fleet.stream;

import org.waxwingcourse.model.id.RequestFingerprint;

/**
 * Identifies a stream over all tries of its caller. It holds the organisation, so that nobody can
 * name a stream of another one.
 *
 * @param hash part of a digest
 */
public record StreamKey(long hash) {
  /** Longest id of a request that a caller may name, in characters. */
  public static final int MAX_ID_LENGTH = 256;

  private static final byte[] NO_BODY = new byte[0];

  /**
   * Returns the key of a stream.
   *
   * @param organisation name of the caller's organisation, empty for callers without a key
   * @param firstRequest id of the request that brought the first event
   */
  public static StreamKey of(String organisation, String firstRequest) {
    return new StreamKey(RequestFingerprint.of(organisation, firstRequest, NO_BODY).high());
  }
}
