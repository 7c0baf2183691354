package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.waxwingcourse.batch.cache.ChunkCache;
import org.waxwingcourse.batch.job.Jobs;
import org.waxwingcourse.batch.job.Results;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.policy.retry.Backoff;

/**
 * Runs batch work on one host. One thread talks to the store; items are sent and answered on the
 * senders' threads. After a failure of the store the thread comes back by backoff with jitter,
 * while items that are held go on for as long as the lease does.
 */
public final class BatchRunner implements Service {
  private static final EventLog LOG = EventLog.of(BatchRunner.class);
  private static final Backoff STORE_BACKOFF =
      Backoff.of(Duration.ofSeconds(2), Duration.ofSeconds(30));
  private static final int OUTAGE_FAILURES = 3;
  private static final Duration IDLE = Duration.ofSeconds(5);
  private static final Duration STOP_PATIENCE = Duration.ofSeconds(20);
  private static final Duration DRAIN_POLL = Duration.ofMillis(50);
  private static final Duration BUSY = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final RandomGenerator random;
  private final LeaseKeeper lease;
  private final LiveJobs live;
  private final ItemPump pump;
  private final HeldChunks held;
  private final WorkFinder finder;
  private final Sweeper sweeper;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition wake = lock.newCondition();
  private Instant storeRetryAt = Instant.MIN;
  private Instant claimAfter = Instant.MIN;
  private int storeFailures;
  private volatile boolean refusesClaims;
  private boolean woken;
  private boolean stopping;
  private Thread thread;

  /**
   * What the runner works with.
   *
   * @param host this host
   * @param calls calls to the store with the runner's own budget
   * @param sender sends items to engines and services
   * @param admission holds organisations to their rates
   * @param clock gives the time
   * @param random gives jitter and starting points
   * @param cache copies of input chunks
   * @param mostTries tries of an item as now configured
   * @param commits hears of committed chunks
   * @param settings how much is held at once
   */
  public record Parts(
      HostId host,
      StoreCalls calls,
      ItemSender sender,
      Admission admission,
      InstantSource clock,
      RandomGenerator random,
      ChunkCache cache,
      IntSupplier mostTries,
      CommitListener commits,
      RunSettings settings) {}

  /** Creates a runner that holds nothing. */
  public BatchRunner(Parts parts) {
    this.clock = parts.clock();
    this.random = parts.random();
    StoreCalls calls = parts.calls();
    RunSettings settings = parts.settings();
    this.lease = new LeaseKeeper(calls.store(), clock, settings.leaseTime());
    this.live = new LiveJobs(calls, clock, random, this::onJobsChanged);
    this.pump = new ItemPump(parts.sender(), parts.admission(), clock, settings, this::wakeUp);
    Claims claims = new Claims(calls, parts.host(), () -> UUID.randomUUID().toString());
    Results results = new Results(calls, parts.cache());
    this.held =
        new HeldChunks(
            claims, results, pump, live, clock, settings, parts.mostTries(), parts.commits());
    this.sweeper = new Sweeper(calls, clock, random);
    this.finder =
        new WorkFinder(
            new Jobs(calls, clock), claims, held, live, parts.host(), clock, random, settings);
  }

  @Override
  public void start() {
    lock.lock();
    try {
      if (thread == null) {
        thread = new Thread(this::run, "batch-runner");
        thread.setDaemon(true);
        thread.start();
      }
    } finally {
      lock.unlock();
    }
  }

  /** Claims no more chunks; those that are held go on. The first step of a planned stop. */
  public void refuseClaims() {
    refusesClaims = true;
  }

  /** Ends what was sent, then gives all claims back so that other hosts go on at once. */
  @Override
  public void stop() {
    Thread running;
    lock.lock();
    try {
      running = thread;
      thread = null;
      stopping = true;
      wake.signalAll();
    } finally {
      lock.unlock();
    }
    if (running != null) {
      joinQuietly(running);
    }
    drain();
    ChunkRun.stopAll(List.copyOf(pump.runs()));
    live.close();
    lease.release();
  }

  /** Lets what was sent end, commits what is finished and stores what is known of the rest. */
  private void drain() {
    pump.drain();
    Instant patience = clock.instant().plus(STOP_PATIENCE);
    while (!pump.isDrained() && clock.instant().isBefore(patience)) {
      held.check(clock.instant());
      pump.pump();
      LockSupport.parkNanos(DRAIN_POLL.toNanos());
    }
    lease.held().forEach(held::handOver);
  }

  private static void joinQuietly(Thread running) {
    try {
      running.join(STOP_PATIENCE.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    while (!isStopping()) {
      Duration wait;
      try {
        wait = step();
      } catch (RuntimeException e) {
        LOG.write(Event.BROKEN_INVARIANT, "batch runner: " + e);
        wait = IDLE;
      }
      await(wait);
    }
  }

  private boolean isStopping() {
    lock.lock();
    try {
      return stopping;
    } finally {
      lock.unlock();
    }
  }

  private void await(Duration wait) {
    lock.lock();
    try {
      long left = wait.toNanos();
      while (!woken && !stopping && left > 0) {
        left = wake.awaitNanos(left);
      }
      woken = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      lock.unlock();
    }
  }

  private void wakeUp() {
    lock.lock();
    try {
      woken = true;
      wake.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Stops the chunks of a cancelled job on the thread of the watch, without waiting for a step. */
  private void onJobsChanged() {
    ChunkRun.stopAll(
        pump.runs().stream().filter(run -> !live.isInForce(run.claim().job())).toList());
    wakeUp();
  }

  /** Does all that can be done now; returns how long nothing more is expected to be due. */
  public Duration step() {
    held.check(clock.instant());
    if (!clock.instant().isBefore(storeRetryAt)) {
      boolean answered = talkToStore();
      noteStore(answered);
    }
    pump.pump();
    return held.size() > 0 ? BUSY : IDLE;
  }

  private void noteStore(boolean answered) {
    if (answered) {
      storeFailures = 0;
      return;
    }
    storeFailures++;
    Duration wait = STORE_BACKOFF.wait(storeFailures - 1, random);
    storeRetryAt = clock.instant().plus(wait);
    LOG.write(Event.BATCH_STORE_WAIT, wait, held.size());
  }

  /**
   * After an outage new chunks are left alone until each host that comes back has had the time to
   * claim its own again, so that what was finished in the outage is not run a second time.
   */
  private boolean talkToStore() {
    if (storeFailures >= OUTAGE_FAILURES) {
      claimAfter = clock.instant().plus(STORE_BACKOFF.cap());
    }
    if (!live.refresh()) {
      return false;
    }
    Option<LeaseTerm> term = lease.keep();
    if (term.isEmpty()) {
      return false;
    }
    Either<HeldChunks.Step, List<JobId>> gone = held.advance(term.get());
    gone.forEach(jobs -> jobs.forEach(finder::lookAgain));
    if (gone.isLeft() || clock.instant().isBefore(claimAfter)) {
      return gone.isRight();
    }
    return claimAll(term.get()) && sweeper.step(term.get());
  }

  /** Claims one chunk after the other and loads each, until there is enough to be sent. */
  private boolean claimAll(LeaseTerm term) {
    boolean more = true;
    while (more && !refusesClaims && pump.wantsMore()) {
      int before = held.size();
      if (!finder.claimMore(term) || held.advance(term).isLeft()) {
        return false;
      }
      more = held.size() > before;
    }
    return true;
  }
}
