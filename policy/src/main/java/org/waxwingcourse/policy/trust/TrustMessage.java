package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.util.Optional;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Delta;

/** What hosts tell each other about versions and evidence. */
public sealed interface TrustMessage {
  /**
   * Asks for newer versions and for evidence.
   *
   * @param id matches the answer with its ask
   * @param incarnation the asking process
   * @param versions what the asker has
   */
  record Ask(long id, long incarnation, Versions versions) implements TrustMessage {}

  /**
   * Answers an ask. Evidence travels as an age, so that no two clocks are compared: the asker
   * counts it back from the instant at which it sent the ask.
   *
   * @param id the ask
   * @param incarnation the answering process
   * @param versions what the answering host has
   * @param evidenceAge age of its evidence, empty without any
   * @param extendsRoster whether the process is listed in the asker's roster and still stands by it
   * @param configuration what the asker lacks
   * @param roster what the asker lacks
   */
  record Answer(
      long id,
      long incarnation,
      Versions versions,
      Optional<Duration> evidenceAge,
      boolean extendsRoster,
      Optional<Delta> configuration,
      Optional<Delta> roster)
      implements TrustMessage {}

  /**
   * Asks a host to extend a roster no longer because it is about to be replaced.
   *
   * @param id matches the vote with its proposal
   * @param roster the revision to be replaced
   */
  record CloseRoster(long id, Revision roster) implements TrustMessage {}

  /**
   * Promises to extend the roster no longer.
   *
   * @param id the proposal
   * @param roster the revision to be replaced
   */
  record RosterClosed(long id, Revision roster) implements TrustMessage {}
}
