package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreAnswers;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Keeps this host's entry in the store under a lease. The first host of a fleet also writes the
 * secret by which hosts authenticate to each other; if several hosts try at once, all use the
 * secret that was written first.
 */
public final class HostEntryRegistration {
  private static final EventLog LOG = EventLog.of(HostEntryRegistration.class);

  /**
   * Time to live of the lease. A host that stops renewing stays listed, and callers are sent to it,
   * for this long.
   */
  private static final Duration LEASE_TIME_TO_LIVE = Duration.ofMillis(3000);

  /** Interval between renewals; two renewals may be lost before the lease expires. */
  private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1000);

  /** Delay before a failed step is repeated. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private static final int SECRET_BYTES = 24;

  /** Maximum number of entries of earlier processes that are removed in one write. */
  private static final int MAX_REMOVED_ENTRIES = 8;

  private final Store store;
  private final StoreView storeView;
  private final Clocks clocks;
  private final ScheduledExecutorService timer;
  private final SecureRandom random;
  private final CompletableFuture<String> secret = new CompletableFuture<>();
  private volatile FleetHost host;
  private volatile Option<Lease> lease = Option.none();
  private volatile boolean stopped;
  private volatile long term;

  /** The entry as this host knows it in the store; none before it is known to exist. */
  private volatile Option<KnownEntry> known = Option.none();

  private volatile Revision registeredAt = Revision.NONE;
  private volatile Duration storeResponseTime = Duration.ZERO;
  private Runnable newTermListener = () -> {};
  private Consumer<List<Entry>> fleetEntriesListener = entries -> {};

  /** The revisions of the entry in the store. */
  private record KnownEntry(Revision created, Revision modified) {}

  /** Creates the registration of a host. */
  public HostEntryRegistration(
      FleetHost host,
      Store store,
      StoreView storeView,
      Clocks clocks,
      ScheduledExecutorService timer,
      SecureRandom random) {
    this.host = host;
    this.store = store;
    this.storeView = storeView;
    this.clocks = clocks;
    this.timer = timer;
    this.random = random;
  }

  /** Starts to register. The result completes with the fleet's secret once it is known. */
  public CompletableFuture<String> start() {
    readFleetEntries();
    return secret;
  }

  /** Returns when the present lease expires if it is not renewed; none without a lease. */
  public Option<Deadline> leaseDeadline() {
    return lease.map(Lease::deadline);
  }

  /** Returns whether the entry is known to be in the store now. */
  public boolean isLeaseValid() {
    return lease.exists(l -> !l.deadline().isPast(clocks.instant()));
  }

  /**
   * Returns the number of the present registration term: the time for which the entry has been in
   * the store without interruption. Other hosts may have taken over what this host held in an
   * earlier term.
   */
  public long term() {
    return term;
  }

  /**
   * Sets the listener that is called when the entry is in the store again after an interruption.
   */
  public void setNewTermListener(Runnable listener) {
    newTermListener = listener;
  }

  /** Sets the listener that is called with the entries of the fleet that are read at the start. */
  public void setFleetEntriesListener(Consumer<List<Entry>> listener) {
    fleetEntriesListener = listener;
  }

  /**
   * Returns the revision that created the entry, by which all hosts rank this process; none before
   * it has registered.
   */
  public Revision registeredAt() {
    return registeredAt;
  }

  /** Returns the response time of the store in the last renewal; zero before the first. */
  public Duration storeResponseTime() {
    return storeResponseTime;
  }

  /** Marks this host's entry as leaving. */
  public void announceLeaving() {
    host = host.asLeaving();
    writeLeaving();
  }

  /** Repeats the write until it is executed, since callers are sent here until then. */
  private void writeLeaving() {
    if (!stopped) {
      lease.forEach(
          l ->
              StoreAnswers.handle(
                  writeEntry(l.id()),
                  "a write of this host's entry as leaving",
                  this::onLeavingWritten,
                  failure -> scheduleStep(this::writeLeaving)));
    }
  }

  private void onLeavingWritten(WriteOutcome outcome) {
    if (!(outcome instanceof WriteOutcome.Done)) {
      scheduleStep(this::writeLeaving, outcome);
    }
  }

  /** Removes the entry from the store by revoking its lease. */
  public void stop() {
    stopped = true;
    lease.forEach(l -> store.revokeLease(l.id()));
  }

  private void readFleetEntries() {
    StoreAnswers.handle(
        store.read(KeyRange.ofPrefix(StoreKeys.FLEET_PREFIX)),
        "a read of the fleet's entries",
        answer -> answer.fold(this::retryRead, this::onFleetEntries),
        this::retryRead);
  }

  private Void retryRead(StoreFailure failure) {
    LOG.write(Event.REGISTRATION_WAITS, failure.message());
    scheduleStep(this::readFleetEntries);
    return null;
  }

  private Void onFleetEntries(Snapshot snapshot) {
    storeView
        .hostTable()
        .replaceFromRead(
            new Snapshot(
                snapshot.revision(),
                snapshot.entries().stream()
                    .filter(e -> e.key().startsWith(StoreKeys.HOSTS_PREFIX))
                    .toList()));
    fleetEntriesListener.accept(snapshot.entries());
    Option<Entry> known =
        Option.ofOptional(
            snapshot.entries().stream()
                .filter(e -> e.key().equals(StoreKeys.SECRET_KEY))
                .findFirst());
    if (known.isDefined()) {
      secret.complete(known.get().text());
      requestLease();
    } else {
      createSecret();
    }
    return null;
  }

  private void createSecret() {
    byte[] bytes = new byte[SECRET_BYTES];
    random.nextBytes(bytes);
    byte[] text = HexFormat.of().formatHex(bytes).getBytes(StandardCharsets.US_ASCII);
    Transaction create =
        Transaction.builder()
            .requireAbsent(StoreKeys.SECRET_KEY)
            .put(StoreKeys.SECRET_KEY, text)
            .build();
    StoreAnswers.handle(
        store.write(create),
        "a write of the fleet's secret",
        outcome -> scheduleStep(this::readFleetEntries, outcome),
        this::retryRead);
  }

  private void scheduleStep(Runnable step, WriteOutcome outcome) {
    boolean conclusive =
        outcome instanceof WriteOutcome.Done || outcome instanceof WriteOutcome.Lost;
    timer.schedule(step, conclusive ? 0 : RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void scheduleStep(Runnable step) {
    timer.schedule(step, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void requestLease() {
    if (!stopped) {
      StoreAnswers.handle(
          store.grantLease(LEASE_TIME_TO_LIVE),
          "a request for a lease",
          this::onLeaseGranted,
          failure -> scheduleStep(this::requestLease));
    }
  }

  private void onLeaseGranted(Either<StoreFailure, Lease> answer) {
    storeView.contact().recordOutcome(answer);
    if (answer.isLeft()) {
      scheduleStep(this::requestLease);
      return;
    }
    lease = Option.none();
    term++;
    StoreAnswers.handle(
        writeEntry(answer.get().id()),
        "a write of this host's entry",
        outcome -> onWritten(answer.get(), outcome),
        failure -> scheduleStep(this::requestLease));
  }

  /**
   * Writes the entry if it is in the store as this host knows it. A write that was not answered may
   * be executed seconds later; without the condition it would bind the entry to its old lease, with
   * which the entry would disappear.
   */
  private CompletableFuture<WriteOutcome> writeEntry(LeaseId id) {
    String key = StoreKeys.hostKey(host.id(), host.boot());
    Revision expected = known.map(KnownEntry::modified).getOrElse(Revision.NONE);
    Transaction.Builder builder =
        Transaction.builder().requireUnmodified(key, expected).put(key, host.encode(), id);
    earlierEntryKeys(key).forEach(builder::delete);
    return store.write(builder.build()).thenApply(outcome -> recordKnown(key, outcome));
  }

  private WriteOutcome recordKnown(String key, WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Done done) {
      Revision created = known.map(KnownEntry::created).getOrElse(done.revision());
      known = Option.some(new KnownEntry(created, done.revision()));
    } else if (outcome instanceof WriteOutcome.Lost lost) {
      known =
          Option.ofOptional(lost.current().stream().filter(e -> e.key().equals(key)).findFirst())
              .map(e -> new KnownEntry(e.created(), e.modified()));
    }
    return outcome;
  }

  /**
   * Returns the keys of entries that earlier processes of this host have left; those processes have
   * ended.
   */
  private List<String> earlierEntryKeys(String ownKey) {
    return storeView.hostTable().entries().stream()
        .map(Entry::key)
        .filter(k -> k.startsWith(StoreKeys.hostKeyPrefix(host.id())) && !k.equals(ownKey))
        .limit(MAX_REMOVED_ENTRIES)
        .toList();
  }

  private void onWritten(Lease granted, WriteOutcome outcome) {
    if (!(outcome instanceof WriteOutcome.Done done)) {
      scheduleStep(this::requestLease, outcome);
      return;
    }
    registeredAt = known.map(KnownEntry::created).getOrElse(done.revision());
    lease = Option.some(granted);
    LOG.write(
        Event.HOST_REGISTERED,
        host.id(),
        host.boot(),
        granted.id().value(),
        registeredAt.value(),
        done.revision().value());
    if (host.leaving()) {
      // The entry just written may still invite callers.
      writeLeaving();
    }
    newTermListener.run();
    timer.schedule(this::sendRenewal, RENEWAL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void sendRenewal() {
    if (stopped || lease.isEmpty()) {
      return;
    }
    Instant sentAt = clocks.instant();
    StoreAnswers.handle(
        store.renewLease(lease.get().id()),
        "a renewal of this host's lease",
        answer -> {
          storeView.contact().recordOutcome(answer);
          answer.forEach(l -> storeResponseTime = Duration.between(sentAt, clocks.instant()));
          onRenewed(answer);
        },
        failure -> scheduleStep(this::sendRenewal));
  }

  private void onRenewed(Either<StoreFailure, Lease> answer) {
    if (answer.isRight()) {
      lease = Option.some(answer.get());
    } else if (answer.getLeft().kind() == StoreFailure.Kind.LEASE_GONE) {
      LOG.write(Event.HOST_LEASE_LOST, answer.getLeft().message());
      known = Option.none();
      requestLease();
      return;
    }
    long pause = answer.isRight() ? RENEWAL_INTERVAL.toMillis() : RETRY_DELAY.toMillis();
    timer.schedule(this::sendRenewal, pause, TimeUnit.MILLISECONDS);
  }
}
