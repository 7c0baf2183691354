package org.waxwingcourse.model.id;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Equal for requests that ask for the same: those of one organisation with the same path, query and
 * body, whatever their ids. It is part of a SHA-256 digest, from which nothing of the request can
 * be read.
 *
 * @param high the first half of the digest
 * @param low the second half
 * @param owner equal for all requests of one organisation
 */
public record RequestFingerprint(long high, long low, int owner) {
  private static final byte SEPARATOR = 0;

  /**
   * Returns the fingerprint of a request.
   *
   * @param organisation name of the caller's organisation, empty for callers without a key
   * @param target path and query, as received
   * @param body the complete body
   */
  public static RequestFingerprint of(String organisation, String target, byte[] body) {
    MessageDigest digest = Sha256.newDigest();
    byte[] organisationBytes = organisation.getBytes(StandardCharsets.UTF_8);
    int owner = ByteBuffer.wrap(digest.digest(organisationBytes)).getInt();
    digest.update(organisationBytes);
    digest.update(SEPARATOR);
    digest.update(target.getBytes(StandardCharsets.UTF_8));
    digest.update(SEPARATOR);
    ByteBuffer bytes = ByteBuffer.wrap(digest.digest(body));
    return new RequestFingerprint(bytes.getLong(), bytes.getLong(), owner);
  }

  /** Returns the first half of the digest, which suffices to tell requests apart in a log. */
  @Override
  public String toString() {
    return "%016x".formatted(high);
  }
}
