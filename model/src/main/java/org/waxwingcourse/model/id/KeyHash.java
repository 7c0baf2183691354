package org.waxwingcourse.model.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * The SHA-256 hash of a caller's key. The key itself is never stored.
 *
 * @param hex the digest as 64 lower-case hexadecimal digits
 */
public record KeyHash(String hex) {
  private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");

  /** Rejects text other than 64 lower-case hexadecimal digits. */
  public KeyHash {
    if (!HEX.matcher(hex).matches()) {
      throw new IllegalArgumentException("a key hash is 64 lower-case hexadecimal digits");
    }
  }

  /** Returns the hash with the given hexadecimal form. */
  public static KeyHash ofHex(String hex) {
    return new KeyHash(hex);
  }

  /** Returns the hash of a caller's key. */
  public static KeyHash ofKey(String key) {
    byte[] digest = Sha256.newDigest().digest(key.getBytes(StandardCharsets.UTF_8));
    return new KeyHash(HexFormat.of().formatHex(digest));
  }

  /** Returns whether both hashes are equal. The comparison takes constant time. */
  public boolean matches(KeyHash other) {
    return MessageDigest.isEqual(
        hex.getBytes(StandardCharsets.US_ASCII), other.hex.getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the first 8 digits, which suffice to tell hashes apart in a log. */
  @Override
  public String toString() {
    return hex.substring(0, 8);
  }
}
