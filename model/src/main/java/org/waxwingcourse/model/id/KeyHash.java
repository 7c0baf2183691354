package org.waxwingcourse.model.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 of a caller's key. The key itself is never kept.
 *
 * @param hex the digest as 64 lower-case hexadecimal digits
 */
public record KeyHash(String hex) {
  private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");

  /** Refuses anything but 64 lower-case hexadecimal digits. */
  public KeyHash {
    if (!HEX.matcher(hex).matches()) {
      throw new IllegalArgumentException("a key hash is 64 lower-case hexadecimal digits");
    }
  }

  /** Returns the hash with the given hexadecimal form. */
  public static KeyHash of(String hex) {
    return new KeyHash(hex);
  }

  /** Hashes the key that a caller showed. */
  public static KeyHash ofKey(String key) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      byte[] digest = sha.digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyHash(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Compares in a time that does not depend on the position of a difference. */
  public boolean matches(KeyHash other) {
    return MessageDigest.isEqual(
        hex.getBytes(StandardCharsets.US_ASCII), other.hex.getBytes(StandardCharsets.US_ASCII));
  }

  /** Shows only enough to tell two hashes apart in a log. */
  @Override
  public String toString() {
    return hex.substring(0, 8);
  }
}
