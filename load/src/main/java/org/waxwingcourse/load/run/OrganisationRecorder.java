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
import org.waxwingcourse.load.report.RateJudge;

/** Collects what one organisation saw. Several threads may record. */
final class OrganisationRecorder {
  private static final long MAX_MICROS = 3_600_000_000L;
  private static final int DIGITS = 3;

  private final OrganisationLoad organisation;
  private final Histogram latency = histogram();
  private final Histogram firstToken = histogram();
  private final Histogram betweenTokens = histogram();
  private final Map<TryOutcome, Long> outcomes = new EnumMap<>(TryOutcome.class);
  private final List<Judged> judged = new ArrayList<>();
  private long arrivals;
  private long completed;

  OrganisationRecorder(OrganisationLoad organisation) {
    this.organisation = organisation;
  }

  private record Judged(Duration sentAt, boolean refused) {}

  synchronized void countArrival() {
    arrivals++;
  }

  synchronized void record(Arrival arrival, Try attempt) {
    outcomes.merge(attempt.outcome(), 1L, Long::sum);
    if (attempt.outcome() != TryOutcome.NOT_SENT && attempt.outcome() != TryOutcome.UNAVAILABLE) {
      boolean refused = attempt.outcome() == TryOutcome.RATE_LIMITED;
      judged.add(new Judged(attempt.sentAt(), refused));
    }
    if (attempt.outcome() == TryOutcome.COMPLETED) {
      completed++;
      recordTimes(arrival.at(), attempt);
    }
  }

  synchronized OrganisationReport report() {
    RateJudge judge = new RateJudge(organisation.ratePerSecond(), organisation.burst());
    judged.stream()
        .sorted(Comparator.comparing(Judged::sentAt))
        .forEach(one -> judge.judge(one.sentAt(), one.refused()));
    return new OrganisationReport(
        organisation.name(),
        arrivals,
        completed,
        counts(outcomes),
        judge.refusedInside(),
        judge.overrun(),
        Quantiles.ofMicros(latency),
        Quantiles.ofMicros(firstToken),
        Quantiles.ofMicros(betweenTokens));
  }

  /** Returns the sum over several recorders. */
  static OrganisationReport total(List<OrganisationRecorder> recorders) {
    Histogram latency = histogram();
    Histogram firstToken = histogram();
    Histogram betweenTokens = histogram();
    Map<TryOutcome, Long> outcomes = new EnumMap<>(TryOutcome.class);
    long arrivals = 0;
    long completed = 0;
    long refusedInside = 0;
    double overrun = 0;
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
      refusedInside += report.refusedInsideRate();
      overrun = Math.max(overrun, report.overRate());
    }
    return new OrganisationReport(
        "all",
        arrivals,
        completed,
        counts(outcomes),
        refusedInside,
        overrun,
        Quantiles.ofMicros(latency),
        Quantiles.ofMicros(firstToken),
        Quantiles.ofMicros(betweenTokens));
  }

  private void recordTimes(Duration scheduled, Try attempt) {
    latency.recordValue(micros(scheduled, attempt.endedAt()));
    List<Duration> parts = attempt.partsAt();
    if (!parts.isEmpty()) {
      firstToken.recordValue(micros(scheduled, parts.get(0)));
    }
    for (int i = 1; i < parts.size(); i++) {
      betweenTokens.recordValue(micros(parts.get(i - 1), parts.get(i)));
    }
  }

  private static long micros(Duration from, Duration to) {
    return Math.max(0, Math.min(MAX_MICROS, to.minus(from).toNanos() / 1000));
  }

  private static List<NamedCount> counts(Map<TryOutcome, Long> outcomes) {
    return outcomes.entrySet().stream()
        .map(
            entry ->
                new NamedCount(
                    entry.getKey().name().toLowerCase(java.util.Locale.ROOT), entry.getValue()))
        .toList();
  }

  private static Histogram histogram() {
    return new Histogram(MAX_MICROS, DIGITS);
  }
}
