package org.waxwingcourse.load.run;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Compares answers with the deterministic text of the engine stand-in: each token consists of the
 * first eight hexadecimal digits of the prompt's SHA-256 hash, a hyphen and the index of the token.
 */
final class StandInAnswerCheck {
  private static final int DIGEST_DIGITS = 8;

  private StandInAnswerCheck() {}

  static boolean isExpectedAnswer(String answer, String prompt, int tokens) {
    String digest = digestOf("user: " + prompt + "\n");
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      expected.append(i == 0 ? "" : " ").append(digest).append('-').append(i);
    }
    return answer.contentEquals(expected);
  }

  private static String digestOf(String text) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      byte[] hash = sha.digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash).substring(0, DIGEST_DIGITS);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
