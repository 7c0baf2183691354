package org.waxwingcourse.standin.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * A prompt split into tokens, one for each word, and into blocks for the prefix cache. The hash of
 * a block covers all blocks before it: the first 16 hex digits of SHA-256 over the previous block's
 * hash and the block's words, each followed by a space.
 */
public record Prompt(String text, int tokens, List<String> blockHashes) {
  /** Number of tokens in a block; an incomplete last block is not cached. */
  public static final int BLOCK_TOKENS = 16;

  private static final int HASH_DIGITS = 16;
  private static final int DIGEST_DIGITS = 8;

  /** Returns the prompt with the given text. */
  public static Prompt of(String text) {
    String[] words = text.strip().split("\\s+");
    List<String> hashes = new ArrayList<>();
    StringBuilder block = new StringBuilder();
    String previous = "";
    for (int i = 0; i < words.length; i++) {
      block.append(words[i]).append(' ');
      if ((i + 1) % BLOCK_TOKENS == 0) {
        previous = hash(previous + block).substring(0, HASH_DIGITS);
        hashes.add(previous);
        block.setLength(0);
      }
    }
    return new Prompt(text, words.length, List.copyOf(hashes));
  }

  /** Returns the first eight hex digits of the text's SHA-256; each answer token contains them. */
  public String digest() {
    return hash(text).substring(0, DIGEST_DIGITS);
  }

  /** Returns the text of the answer's token {@code index}, counted from zero. */
  public String answerToken(int index) {
    return (index == 0 ? "" : " ") + digest() + "-" + index;
  }

  /** Returns the complete answer with that many tokens. */
  public String answer(int tokenCount) {
    StringBuilder answer = new StringBuilder();
    for (int i = 0; i < tokenCount; i++) {
      answer.append(answerToken(i));
    }
    return answer.toString();
  }

  private static String hash(String text) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
