package org.waxwingcourse.load.plan;

/** Writes prompts: words that all prompts of one prefix share, then words of the request's own. */
public final class Prompts {
  private Prompts() {}

  /** Returns the prompt of request {@code number} of an organisation. */
  public static String of(OrganisationLoad organisation, int prefix, int number) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < organisation.promptTokens(); i++) {
      boolean shared = i < organisation.sharedTokens();
      text.append(organisation.name()).append(shared ? "-p" + prefix : "-r" + number);
      text.append('-').append(i).append(' ');
    }
    return text.toString().strip();
  }
}
