package org.waxwingcourse.load.run;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.load.plan.Arrival;
import org.waxwingcourse.load.plan.ArrivalProcess;
import org.waxwingcourse.load.plan.BatchLoad;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.plan.OrganisationLoad;
import org.waxwingcourse.load.plan.PlannedFault;
import org.waxwingcourse.load.report.FaultReport;
import org.waxwingcourse.load.report.LoadReport;
import org.waxwingcourse.load.report.OrganisationReport;
import org.waxwingcourse.model.time.Deadline;

/**
 * One run of a load plan. The load is open-loop: each request is sent at its scheduled time even if
 * earlier answers are late, and its latency is measured from that time. A stall of the system or of
 * this process is therefore fully visible in the latencies (no coordinated omission).
 */
public final class LoadRun {
  private static final Duration FAULT_TIMEOUT = Duration.ofSeconds(10);
  private static final double MILLIS_PER_SECOND = 1000;
  private static final double NANOS_PER_MILLI = 1e6;

  private final LoadPlan plan;
  private final HttpCaller http;
  private final InstantSource clock;
  private final ScheduledExecutorService timer;
  private final Map<String, OrganisationRecorder> recorders = new LinkedHashMap<>();
  private final Map<String, OrganisationClient> clients = new LinkedHashMap<>();
  private final List<BatchJobRun> batches = new ArrayList<>();
  private final List<FaultReport> faults = new ArrayList<>();
  private final AtomicInteger pendingRequests = new AtomicInteger();
  private final AtomicLong maxSendDelayNanos = new AtomicLong();
  private final CountDownLatch finished = new CountDownLatch(1);
  private final List<Arrival> arrivals;
  private final Instant startedAt;
  private int nextArrival;

  /**
   * Creates a run. The caller of this constructor starts and stops {@code http} and {@code timer}.
   */
  public LoadRun(
      LoadPlan plan, HttpCaller http, InstantSource clock, ScheduledExecutorService timer) {
    this.plan = plan;
    this.http = http;
    this.clock = clock;
    this.timer = timer;
    this.arrivals = ArrivalProcess.arrivalsOf(plan);
    this.startedAt = clock.instant();
    for (OrganisationLoad organisation : plan.organisations()) {
      recorders.put(organisation.name(), new OrganisationRecorder(organisation));
      clients.put(
          organisation.name(),
          new OrganisationClient(plan, organisation, http, clock, this::elapsed));
    }
  }

  /**
   * Runs the plan and returns its measurements as soon as all requests are answered and all batch
   * jobs have ended, at the latest when the drain time has elapsed.
   */
  public LoadReport run() throws InterruptedException {
    plan.faults().forEach(fault -> scheduleAt(fault.scheduledAt(), () -> injectFault(fault)));
    plan.batches().forEach(this::scheduleBatch);
    scheduleAt(Duration.ZERO, this::sendDueRequests);
    finished.await(plan.duration().plus(plan.drain()).toMillis(), TimeUnit.MILLISECONDS);
    return report();
  }

  private void scheduleBatch(BatchLoad batch) {
    OrganisationClient sender = clients.get(batch.organisation());
    BatchJobRun job = new BatchJobRun(plan, batch, sender, http, timer, this::elapsed);
    batches.add(job);
    scheduleAt(batch.submitAt(), job::start);
  }

  private void sendDueRequests() {
    while (nextArrival < arrivals.size()
        && arrivals.get(nextArrival).scheduledAt().compareTo(elapsed()) <= 0) {
      Arrival arrival = arrivals.get(nextArrival);
      nextArrival++;
      recorders.get(arrival.organisation().name()).countArrival();
      pendingRequests.incrementAndGet();
      recordSendDelay(arrival);
      send(arrival, plan.retries());
    }
    if (nextArrival < arrivals.size()) {
      scheduleAt(arrivals.get(nextArrival).scheduledAt(), this::sendDueRequests);
    } else {
      scheduleAt(plan.duration(), this::checkFinished);
    }
  }

  private void send(Arrival arrival, int retriesLeft) {
    clients
        .get(arrival.organisation().name())
        .send(arrival)
        .thenAccept(attempt -> onAttemptEnd(arrival, attempt, retriesLeft));
  }

  private void onAttemptEnd(Arrival arrival, RequestAttempt attempt, int retriesLeft) {
    recorders.get(arrival.organisation().name()).recordAttempt(arrival, attempt);
    if (retriesLeft > 0 && attempt.retryAfter().isPresent()) {
      Duration retryAt = attempt.endedAt().plus(attempt.retryAfter().get());
      scheduleAt(retryAt, () -> send(arrival, retriesLeft - 1));
    } else {
      pendingRequests.decrementAndGet();
    }
  }

  private void checkFinished() {
    if (pendingRequests.get() == 0 && batches.stream().allMatch(BatchJobRun::isFinished)) {
      finished.countDown();
    } else {
      timer.schedule(this::checkFinished, 50, TimeUnit.MILLISECONDS);
    }
  }

  private void injectFault(PlannedFault fault) {
    Deadline deadline = Deadline.after(clock, FAULT_TIMEOUT);
    double atSeconds = elapsed().toMillis() / MILLIS_PER_SECOND;
    CompletableFuture<String> result =
        http.call(HttpRequest.postJson(fault.address(), fault.body(), deadline))
            .thenApply(a -> a.fold(CallFailure::message, answer -> "status " + answer.status()));
    result.thenAccept(text -> recordFault(fault, atSeconds, text));
  }

  private synchronized void recordFault(PlannedFault fault, double atSeconds, String result) {
    faults.add(new FaultReport(atSeconds, fault.address().toString(), fault.body(), result));
  }

  private synchronized LoadReport report() {
    List<OrganisationRecorder> all = List.copyOf(recorders.values());
    List<OrganisationReport> reports = all.stream().map(OrganisationRecorder::report).toList();
    String worst =
        reports.stream()
            .min(Comparator.comparingDouble(OrganisationReport::completedShare))
            .map(OrganisationReport::name)
            .orElse("");
    return new LoadReport(
        plan.seed(),
        plan.duration().toMillis() / MILLIS_PER_SECOND,
        OrganisationRecorder.aggregate(all),
        worst,
        maxSendDelayNanos.get() / NANOS_PER_MILLI,
        pendingRequests.get(),
        reports,
        batches.stream().map(BatchJobRun::report).toList(),
        faults);
  }

  private void recordSendDelay(Arrival arrival) {
    long nanos = elapsed().minus(arrival.scheduledAt()).toNanos();
    maxSendDelayNanos.accumulateAndGet(nanos, Math::max);
  }

  private void scheduleAt(Duration offset, Runnable action) {
    long nanos = Math.max(0, offset.minus(elapsed()).toNanos());
    timer.schedule(action, nanos, TimeUnit.NANOSECONDS);
  }

  private Duration elapsed() {
    return Duration.between(startedAt, clock.instant());
  }
}
