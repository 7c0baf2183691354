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
 * One run of a plan. It is open-loop: each request is sent at its scheduled time, however late the
 * answers to earlier ones are, and its latency counts from that time, so a stall of the system or
 * of this process is seen in full (no coordinated omission).
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
  private final Map<String, Callers> callers = new LinkedHashMap<>();
  private final List<BatchCall> batches = new ArrayList<>();
  private final List<FaultReport> faults = new ArrayList<>();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong latestSendNanos = new AtomicLong();
  private final CountDownLatch over = new CountDownLatch(1);
  private final List<Arrival> arrivals;
  private final Instant start;
  private int next;

  /** Prepares a run; {@code http} and {@code timer} are the caller's to start and stop. */
  public LoadRun(
      LoadPlan plan, HttpCaller http, InstantSource clock, ScheduledExecutorService timer) {
    this.plan = plan;
    this.http = http;
    this.clock = clock;
    this.timer = timer;
    this.arrivals = ArrivalProcess.of(plan);
    this.start = clock.instant();
    for (OrganisationLoad organisation : plan.organisations()) {
      recorders.put(organisation.name(), new OrganisationRecorder(organisation));
      callers.put(organisation.name(), new Callers(plan, organisation, http, clock, this::elapsed));
    }
  }

  /** Runs the plan and returns what was measured, once all is answered or the drain is over. */
  public LoadReport run() throws InterruptedException {
    plan.faults().forEach(fault -> at(fault.at(), () -> send(fault)));
    plan.batches().forEach(this::prepare);
    at(Duration.ZERO, this::sendDue);
    over.await(plan.duration().plus(plan.drain()).toMillis(), TimeUnit.MILLISECONDS);
    return report();
  }

  private void prepare(BatchLoad batch) {
    Callers sender = callers.get(batch.organisation());
    BatchCall call = new BatchCall(plan, batch, sender, http, timer, this::elapsed);
    batches.add(call);
    at(batch.at(), call::start);
  }

  private void sendDue() {
    while (next < arrivals.size() && arrivals.get(next).at().compareTo(elapsed()) <= 0) {
      Arrival arrival = arrivals.get(next);
      next++;
      recorders.get(arrival.organisation().name()).countArrival();
      open.incrementAndGet();
      noteLateness(arrival);
      send(arrival, plan.retries());
    }
    if (next < arrivals.size()) {
      at(arrivals.get(next).at(), this::sendDue);
    } else {
      at(plan.duration(), this::checkOver);
    }
  }

  private void send(Arrival arrival, int retriesLeft) {
    callers
        .get(arrival.organisation().name())
        .send(arrival)
        .thenAccept(attempt -> finish(arrival, attempt, retriesLeft));
  }

  private void finish(Arrival arrival, Try attempt, int retriesLeft) {
    recorders.get(arrival.organisation().name()).record(arrival, attempt);
    if (retriesLeft > 0 && attempt.retryAfter().isPresent()) {
      Duration again = attempt.endedAt().plus(attempt.retryAfter().get());
      at(again, () -> send(arrival, retriesLeft - 1));
    } else {
      open.decrementAndGet();
    }
  }

  private void checkOver() {
    if (open.get() == 0 && batches.stream().allMatch(BatchCall::isOver)) {
      over.countDown();
    } else {
      timer.schedule(this::checkOver, 50, TimeUnit.MILLISECONDS);
    }
  }

  private void send(PlannedFault fault) {
    Deadline deadline = Deadline.after(clock, FAULT_TIMEOUT);
    double at = elapsed().toMillis() / MILLIS_PER_SECOND;
    CompletableFuture<String> result =
        http.call(HttpRequest.postJson(fault.address(), fault.body(), deadline))
            .thenApply(a -> a.fold(CallFailure::message, answer -> "status " + answer.status()));
    result.thenAccept(text -> note(fault, at, text));
  }

  private synchronized void note(PlannedFault fault, double at, String result) {
    faults.add(new FaultReport(at, fault.address().toString(), fault.body(), result));
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
        OrganisationRecorder.total(all),
        worst,
        latestSendNanos.get() / NANOS_PER_MILLI,
        open.get(),
        reports,
        batches.stream().map(BatchCall::report).toList(),
        faults);
  }

  private void noteLateness(Arrival arrival) {
    long nanos = elapsed().minus(arrival.at()).toNanos();
    latestSendNanos.accumulateAndGet(nanos, Math::max);
  }

  private void at(Duration offset, Runnable action) {
    long nanos = Math.max(0, offset.minus(elapsed()).toNanos());
    timer.schedule(action, nanos, TimeUnit.NANOSECONDS);
  }

  private Duration elapsed() {
    return Duration.between(start, clock.instant());
  }
}
