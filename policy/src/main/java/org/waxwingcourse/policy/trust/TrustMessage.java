package org.waxwingcourse.policy.trust;

import java.time.Duration;
import java.util.Optional;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.policy.configuration.Delta;

/** A message between hosts about versions and evidence. */
public sealed interface TrustMessage {
  /**
   * Requests newer versions and evidence.
   *
   * @param id identifies the request in the response
   * @param incarnation incarnation of the requesting process
   * @param versions versions of the requester
   */
  record Ask(long id, long incarnation, Versions versions) implements TrustMessage {}

  /**
   * Responds to a request. Evidence is sent as an age, so that clocks of different hosts are never
   * compared: the requester subtracts the age from the time at which it sent the request.
   *
   * @param id identifier of the request
   * @param incarnation incarnation of the responding process
   * @param versions versions of the responder
   * @param evidenceAge age of its evidence, or empty if it has none
   * @param extendsRoster whether the responding process is listed in the requester's roster and
   *     still extends it
   * @param configuration configuration changes that the requester lacks
   * @param roster roster changes that the requester lacks
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
   * Requests that a host stop extending a roster that is about to be replaced.
   *
   * @param id identifies the proposal in the promise
   * @param roster revision of the roster to be replaced
   */
  record CloseRoster(long id, Revision roster) implements TrustMessage {}

  /**
   * Promises to stop extending a roster.
   *
   * @param id identifier of the proposal
   * @param roster revision of the roster to be replaced
   */
  record RosterClosed(long id, Revision roster) implements TrustMessage {}
}
