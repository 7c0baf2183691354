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
import org.waxwingcourse.batch.job.ResultReader;
import org.waxwingcourse.batch.store.StoreClient;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.policy.retry.Backoff;

/**
 * Runs batch work on one host. One thread calls the store; items are sent and completed on the
 * threads of the sender. After a store failure the thread retries with exponential backoff and
 * jitter, while the items of held chunks continue until the lease expires.
 */
public final class BatchRunner implements Service {
  private static final EventLog LOG = EventLog.of(BatchRunner.class);
  private static final Backoff STORE_BACKOFF =
      Backoff.of(Duration.ofSeconds(2), Duration.ofSeconds(30));
  private static final int FAILURES_OF_OUTAGE = 3;
  private static final Duration MAX_WAIT_WITHOUT_CHUNKS = Duration.ofSeconds(5);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);
  private static final Duration MAX_WAIT_WITH_CHUNKS = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final RandomGenerator random;
  private final LeaseKeeper leaseKeeper;
  private final LiveJobs liveJobs;
  private final ItemDispatcher dispatcher;
  private final HeldChunkManager heldChunks;
  private final WorkFinder workFinder;
  private final Sweeper sweeper;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition wakeUpCondition = lock.newCondition();
  private Instant storeRetryAt = Instant.MIN;
  private Instant claimsResumeAt = Instant.MIN;
  private int storeFailures;
  private volatile boolean claimingStopped;
  private boolean wakeUpRequested;
  private boolean stopping;
  private Thread thread;

  /**
   * The collaborators of a runner.
   *
   * @param host this host
   * @param calls store calls with a call budget of the runner's own
   * @param sender sends items to engines and services
   * @param admission enforces the rate limits of organisations
   * @param clock the clock
   * @param random the source of jitter and of random choices
   * @param cache a cache of input chunks and results
   * @param maxAttempts the currently configured maximum number of attempts per item
   * @param commitListener receives each committed chunk
   * @param settings the limits and intervals of the runner
   */
  public record Dependencies(
      HostId host,
      StoreClient calls,
      ItemSender sender,
      Admission admission,
      InstantSource clock,
      RandomGenerator random,
      ChunkCache cache,
      IntSupplier maxAttempts,
      CommitListener commitListener,
      RunSettings settings) {}

  /** Creates a runner that holds no chunks. */
  public BatchRunner(Dependencies dependencies) {
    this.clock = dependencies.clock();
    this.random = dependencies.random();
    StoreClient storeClient = dependencies.calls();
    RunSettings settings = dependencies.settings();
    this.leaseKeeper = new LeaseKeeper(storeClient.store(), clock, settings.leaseTimeToLive());
    this.liveJobs = new LiveJobs(storeClient, clock, random, this::onJobsChanged);
    this.dispatcher =
        new ItemDispatcher(
            dependencies.sender(), dependencies.admission(), clock, settings, this::wakeUp);
    ClaimStore claimStore =
        new ClaimStore(storeClient, dependencies.host(), () -> UUID.randomUUID().toString());
    ResultReader results = new ResultReader(storeClient, dependencies.cache());
    this.heldChunks =
        new HeldChunkManager(
            claimStore,
            results,
            dispatcher,
            liveJobs,
            clock,
            settings,
            dependencies.maxAttempts(),
            dependencies.commitListener());
    this.sweeper = new Sweeper(storeClient, clock, random);
    this.workFinder =
        new WorkFinder(
            new Jobs(storeClient, clock),
            claimStore,
            heldChunks,
            liveJobs,
            dependencies.host(),
            clock,
            random,
            settings);
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

  /**
   * Stops claiming chunks, while chunks that are held continue. This is the first step of a planned
   * stop.
   */
  public void stopClaiming() {
    claimingStopped = true;
  }

  /**
   * Waits for the items in flight, then releases all claims so that other hosts can continue at
   * once.
   */
  @Override
  public void stop() {
    Thread runnerThread;
    lock.lock();
    try {
      runnerThread = thread;
      thread = null;
      stopping = true;
      wakeUpCondition.signalAll();
    } finally {
      lock.unlock();
    }
    if (runnerThread != null) {
      joinThread(runnerThread);
    }
    drain();
    ChunkRun.stopAll(List.copyOf(dispatcher.runs()));
    liveJobs.close();
    leaseKeeper.release();
  }

  /**
   * Waits for the items in flight, commits finished chunks, and stores the checkpoints of the
   * others.
   */
  private void drain() {
    dispatcher.startDraining();
    Instant drainUntil = clock.instant().plus(STOP_TIMEOUT);
    while (!dispatcher.isDrained() && clock.instant().isBefore(drainUntil)) {
      heldChunks.stopAndExpire(clock.instant());
      dispatcher.sendReadyItems();
      LockSupport.parkNanos(DRAIN_POLL_INTERVAL.toNanos());
    }
    leaseKeeper.current().forEach(heldChunks::storeFinalState);
  }

  private static void joinThread(Thread runnerThread) {
    try {
      runnerThread.join(STOP_TIMEOUT.toMillis());
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
        wait = MAX_WAIT_WITHOUT_CHUNKS;
      }
      awaitWakeUp(wait);
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

  private void awaitWakeUp(Duration wait) {
    lock.lock();
    try {
      long nanosLeft = wait.toNanos();
      while (!wakeUpRequested && !stopping && nanosLeft > 0) {
        nanosLeft = wakeUpCondition.awaitNanos(nanosLeft);
      }
      wakeUpRequested = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      lock.unlock();
    }
  }

  private void wakeUp() {
    lock.lock();
    try {
      wakeUpRequested = true;
      wakeUpCondition.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Stops the chunks of cancelled jobs on the thread that received the change, without waiting for
   * the next step.
   */
  private void onJobsChanged() {
    ChunkRun.stopAll(
        dispatcher.runs().stream().filter(run -> !liveJobs.isCurrent(run.claim().job())).toList());
    wakeUp();
  }

  /**
   * Does all work that is due. Returns how long to wait before the next step unless the runner is
   * woken up.
   */
  public Duration step() {
    heldChunks.stopAndExpire(clock.instant());
    if (!clock.instant().isBefore(storeRetryAt)) {
      boolean storeResponded = processStoreWork();
      recordStoreResult(storeResponded);
    }
    dispatcher.sendReadyItems();
    return heldChunks.size() > 0 ? MAX_WAIT_WITH_CHUNKS : MAX_WAIT_WITHOUT_CHUNKS;
  }

  private void recordStoreResult(boolean storeResponded) {
    if (storeResponded) {
      storeFailures = 0;
      return;
    }
    storeFailures++;
    Duration wait = STORE_BACKOFF.delay(storeFailures - 1, random);
    storeRetryAt = clock.instant().plus(wait);
    LOG.write(Event.BATCH_STORE_WAIT, wait, heldChunks.size());
  }

  /**
   * Does the work that needs the store; returns whether the store responded. After an outage no new
   * chunks are claimed until every other host has had time to reclaim its own chunks, so that items
   * that finished during the outage are not run again.
   */
  private boolean processStoreWork() {
    if (storeFailures >= FAILURES_OF_OUTAGE) {
      claimsResumeAt = clock.instant().plus(STORE_BACKOFF.cap());
    }
    if (!liveJobs.refresh()) {
      return false;
    }
    Option<LeaseTerm> term = leaseKeeper.renewIfDue();
    if (term.isEmpty()) {
      return false;
    }
    Either<HeldChunkManager.StepResult, List<JobId>> removed = heldChunks.advance(term.get());
    removed.forEach(jobs -> jobs.forEach(workFinder::inspectAgain));
    if (removed.isLeft() || clock.instant().isBefore(claimsResumeAt)) {
      return removed.isRight();
    }
    return claimChunks(term.get()) && sweeper.step(term.get());
  }

  /** Claims and loads chunks one at a time until enough items are ready to be sent. */
  private boolean claimChunks(LeaseTerm term) {
    boolean more = true;
    while (more && !claimingStopped && dispatcher.needsMoreItems()) {
      int heldBefore = heldChunks.size();
      if (!workFinder.claimNextChunk(term) || heldChunks.advance(term).isLeft()) {
        return false;
      }
      more = heldChunks.size() > heldBefore;
    }
    return true;
  }
}
