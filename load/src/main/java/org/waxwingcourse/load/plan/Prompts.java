package org.waxwingcourse.load.plan;

/**
 * Generates prompts: first the words that all prompts of one prefix share, then words that only
 * this request has.
 */
public final class Prompts {
  private Prompts() {}

  /** Returns the prompt of the request with index {@code number} of an organisation. */
  public static String promptOf(OrganisationLoad organisation, int prefix, int number) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < organisation.promptTokens(); i++) {
      boolean shared = i < organisation.sharedTokens();
      text.append(organisation.name()).append(shared ? "-p" + prefix : "-r" + number);
      text.append('-').append(i).append(' ');
    }
    return text.toString().strip();
  }
}
