package org.waxwingcourse.node.web;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.node.metrics.Objective;
import org.waxwingcourse.node.metrics.ServiceLevels;

/** Measures the time to the first chunk and between chunks of a streamed response. */
final class LatencyListener implements AnswerListener {
  private final AnswerListener next;
  private final InstantSource clock;
  private final ServiceLevels levels;
  private final OrganisationId organisation;
  private final Defaults defaults;
  private Instant lastChunkAt;
  private boolean firstChunkSeen;

  LatencyListener(
      AnswerListener next,
      InstantSource clock,
      ServiceLevels levels,
      OrganisationId organisation,
      Defaults defaults) {
    this.next = next;
    this.clock = clock;
    this.levels = levels;
    this.organisation = organisation;
    this.defaults = defaults;
    this.lastChunkAt = clock.instant();
  }

  @Override
  public void onStart(int status, String contentType) {
    next.onStart(status, contentType);
  }

  @Override
  public void onChunk(byte[] bytes) {
    Instant now = clock.instant();
    Duration latency = Duration.between(lastChunkAt, now);
    if (firstChunkSeen) {
      levels.recordLatency(
          Objective.BETWEEN_TOKENS, organisation, latency, defaults.betweenTokens());
    } else {
      levels.recordLatency(Objective.FIRST_TOKEN, organisation, latency, defaults.firstToken());
    }
    firstChunkSeen = true;
    lastChunkAt = now;
    next.onChunk(bytes);
  }

  @Override
  public void onEnd(Outcome outcome) {
    next.onEnd(outcome);
  }
}
