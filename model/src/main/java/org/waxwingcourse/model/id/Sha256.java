package org.waxwingcourse.model.id;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256, which every Java runtime has. */
final class Sha256 {
  private Sha256() {}

  static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from the Java runtime", e);
    }
  }
}
