package org.waxwingcourse.fleet.estimate;

/**
 * The size of a request in tokens, as its caller states it; zero for what is not stated.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens that the engine generates
 * @param hintedTokens tokens that the caller expects to be generated
 */
public record RequestSize(int promptTokens, int maxOutputTokens, int hintedTokens) {
  /** Largest value that is believed; far above the memory of an engine. */
  public static final int MAX_TOKENS = 1 << 24;

  /** The size of a request of which nothing is stated. */
  public static final RequestSize UNKNOWN = new RequestSize(0, 0, 0);

  /** Takes negative and absurd values as not stated. */
  public RequestSize {
    promptTokens = sanitize(promptTokens);
    maxOutputTokens = sanitize(maxOutputTokens);
    hintedTokens = sanitize(hintedTokens);
  }

  private static int sanitize(int tokens) {
    return tokens < 0 || tokens > MAX_TOKENS ? 0 : tokens;
  }

  /** Returns the most memory of an engine in tokens that it needs; zero if that is not stated. */
  public int memoryTokens() {
    return promptTokens + maxOutputTokens;
  }
}
