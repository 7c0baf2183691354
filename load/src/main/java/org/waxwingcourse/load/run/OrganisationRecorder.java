package org.waxwingcourse.load.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.waxwingcourse.load.plan.Arrival;
import org.waxwingcourse.load.plan.OrganisationLoad;
import org.waxwingcourse.load.report.NamedCount;
import org.waxwingcourse.load.report.OrganisationReport;
import org.waxwingcourse.load.report.Quantiles;
import org.waxwingcourse.load.report.RateLimitChecker;

/** Collects the results of one organisation's requests. Thread-safe. */
final class OrganisationRecorder {
  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final OrganisationLoad organisation;
  private final Histogram latency = newHistogram();
  private final Histogram firstToken = newHistogram();
  private final Histogram betweenTokens = newHistogram();
  private final Map<AttemptOutcome, Long> outcomes = new EnumMap<>(AttemptOutcome.class);
  private final List<RateSample> rateSamples = new ArrayList<>();
  private long arrivals;
  private long completed;

  OrganisationRecorder(OrganisationLoad organisation) {
    this.organisation = organisation;
  }

  private record RateSample(Duration sentAt, boolean refused) {}

  synchronized void countArrival() {
    arrivals++;
  }

  synchronized void recordAttempt(Arrival arrival, RequestAttempt attempt) {
    outcomes.merge(attempt.outcome(), 1L, Long::sum);
    if (attempt.outcome() != AttemptOutcome.NOT_SENT
        && attempt.outcome() != AttemptOutcome.UNAVAILABLE) {
      boolean refused = attempt.outcome() == AttemptOutcome.RATE_LIMITED;
      rateSamples.add(new RateSample(attempt.sentAt(), refused));
    }
    if (attempt.outcome() == AttemptOutcome.COMPLETED) {
      completed++;
      recordLatencies(arrival.scheduledAt(), attempt);
    }
  }

  synchronized OrganisationReport report() {
    RateLimitChecker checker =
        new RateLimitChecker(organisation.ratePerSecond(), organisation.burst());
    rateSamples.stream()
        .sorted(Comparator.comparing(RateSample::sentAt))
        .forEach(sample -> checker.addAttempt(sample.sentAt(), sample.refused()));
    return new OrganisationReport(
        organisation.name(),
        arrivals,
        completed,
        toNamedCounts(outcomes),
        checker.wrongfulRefusals(),
        checker.maxOverrun(),
        Quantiles.ofMicros(latency),
        Quantiles.ofMicros(firstToken),
        Quantiles.ofMicros(betweenTokens));
  }

  /** Returns the aggregated report of several recorders. */
  static OrganisationReport aggregate(List<OrganisationRecorder> recorders) {
    Histogram latency = newHistogram();
    Histogram firstToken = newHistogram();
    Histogram betweenTokens = newHistogram();
    Map<AttemptOutcome, Long> outcomes = new EnumMap<>(AttemptOutcome.class);
    long arrivals = 0;
    long completed = 0;
    long wrongfulRefusals = 0;
    double maxOverrun = 0;
    for (OrganisationRecorder recorder : recorders) {
      OrganisationReport report = recorder.report();
      synchronized (recorder) {
        latency.add(recorder.latency);
        firstToken.add(recorder.firstToken);
        betweenTokens.add(recorder.betweenTokens);
        recorder.outcomes.forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum));
      }
      arrivals += report.arrivals();
      completed += report.completed();
      wrongfulRefusals += report.refusedInsideRate();
      maxOverrun = Math.max(maxOverrun, report.overRate());
    }
    return new OrganisationReport(
        "all",
        arrivals,
        completed,
        toNamedCounts(outcomes),
        wrongfulRefusals,
        maxOverrun,
        Quantiles.ofMicros(latency),
        Quantiles.ofMicros(firstToken),
        Quantiles.ofMicros(betweenTokens));
  }

  private void recordLatencies(Duration scheduled, RequestAttempt attempt) {
    latency.recordValue(microsBetween(scheduled, attempt.endedAt()));
    List<Duration> parts = attempt.partsAt();
    if (!parts.isEmpty()) {
      firstToken.recordValue(microsBetween(scheduled, parts.get(0)));
    }
    for (int i = 1; i < parts.size(); i++) {
      betweenTokens.recordValue(microsBetween(parts.get(i - 1), parts.get(i)));
    }
  }

  private static long microsBetween(Duration from, Duration to) {
    return Math.max(0, Math.min(MAX_LATENCY_MICROS, to.minus(from).toNanos() / 1000));
  }

  private static List<NamedCount> toNamedCounts(Map<AttemptOutcome, Long> outcomes) {
    return outcomes.entrySet().stream()
        .map(
            entry ->
                new NamedCount(
                    entry.getKey().name().toLowerCase(java.util.Locale.ROOT), entry.getValue()))
        .toList();
  }

  private static Histogram newHistogram() {
    return new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  }
}
