package org.waxwingcourse.fleet.view;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Keeps this host's entry in the store under a lease. The first host of a fleet also writes the
 * secret by which hosts know each other; whoever loses that race takes the winner's.
 */
public final class Registration {
  private static final EventLog LOG = EventLog.of(Registration.class);

  /** How long a host that says nothing stays listed; callers are sent to it so long. */
  private static final Duration LEASE_TIME = Duration.ofMillis(3000);

  /** Pause between renewals; two may be lost before the lease ends. */
  private static final Duration RENEWAL = Duration.ofMillis(1000);

  /** Pause before a failed step is tried again. */
  private static final Duration RETRY = Duration.ofMillis(300);

  private static final int SECRET_BYTES = 24;

  /** Earlier processes whose entries are removed in one write. */
  private static final int MAX_EARLIER = 8;

  private final Store store;
  private final Views views;
  private final Clocks clocks;
  private final ScheduledExecutorService timer;
  private final SecureRandom random;
  private final CompletableFuture<String> secret = new CompletableFuture<>();
  private volatile FleetHost host;
  private volatile Option<Lease> lease = Option.none();
  private volatile boolean stopped;
  private volatile long term;
  private Runnable onNewTerm = () -> {};

  /** Creates the registration of a host. */
  public Registration(
      FleetHost host,
      Store store,
      Views views,
      Clocks clocks,
      ScheduledExecutorService timer,
      SecureRandom random) {
    this.host = host;
    this.store = store;
    this.views = views;
    this.clocks = clocks;
    this.timer = timer;
    this.random = random;
  }

  /** Begins to register; the result is the fleet's secret, once it is known. */
  public CompletableFuture<String> start() {
    readFleet();
    return secret;
  }

  /** Returns when the present lease lapses if it is not renewed; none without a lease. */
  public Option<Deadline> leaseDeadline() {
    return lease.map(Lease::deadline);
  }

  /** Tells whether the entry is known to stand in the store now. */
  public boolean isInForce() {
    return lease.exists(l -> !l.deadline().isPast(clocks.instant()));
  }

  /**
   * Returns the number of the present unbroken time in which the entry has stood in the store. What
   * this host held under an earlier term may have been taken over by others.
   */
  public long term() {
    return term;
  }

  /** Names what runs when the entry stands again after a break. */
  public void onNewTerm(Runnable listener) {
    onNewTerm = listener;
  }

  /** Tells the fleet that this host has been told to stop. */
  public void leave() {
    host = host.withLeaving();
    lease.forEach(l -> write(l.id()));
  }

  /** Takes the entry out of the store. */
  public void stop() {
    stopped = true;
    lease.forEach(l -> store.revokeLease(l.id()));
  }

  private void readFleet() {
    store
        .read(KeyRange.ofPrefix(KeyNames.FLEET))
        .thenAccept(answer -> answer.fold(this::readAgain, this::onFleet));
  }

  private Void readAgain(StoreFailure failure) {
    LOG.write(Event.REGISTRATION_WAITS, failure.message());
    later(this::readFleet);
    return null;
  }

  private Void onFleet(Snapshot snapshot) {
    views
        .hosts()
        .replace(
            new Snapshot(
                snapshot.revision(),
                snapshot.entries().stream()
                    .filter(e -> e.key().startsWith(KeyNames.HOSTS))
                    .toList()));
    Option<Entry> known =
        Option.ofOptional(
            snapshot.entries().stream().filter(e -> e.key().equals(KeyNames.SECRET)).findFirst());
    if (known.isDefined()) {
      secret.complete(known.get().text());
      grant();
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
        Transaction.builder().absent(KeyNames.SECRET).put(KeyNames.SECRET, text).build();
    store.write(create).thenAccept(outcome -> later(this::readFleet, outcome));
  }

  private void later(Runnable step, WriteOutcome outcome) {
    boolean settled = outcome instanceof WriteOutcome.Done || outcome instanceof WriteOutcome.Lost;
    timer.schedule(step, settled ? 0 : RETRY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void later(Runnable step) {
    timer.schedule(step, RETRY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void grant() {
    if (!stopped) {
      store.grantLease(LEASE_TIME).thenAccept(this::onGrant);
    }
  }

  private void onGrant(Either<StoreFailure, Lease> answer) {
    if (answer.isLeft()) {
      later(this::grant);
      return;
    }
    lease = Option.none();
    term++;
    write(answer.get().id()).thenAccept(outcome -> onWritten(answer.get(), outcome));
  }

  private CompletableFuture<WriteOutcome> write(LeaseId id) {
    String key = KeyNames.host(host.id(), host.boot());
    Transaction.Builder builder = Transaction.builder().put(key, host.encode(), id);
    earlierBoots(key).forEach(builder::delete);
    return store.write(builder.build());
  }

  /** Returns the entries that processes of this host have left behind, which are gone with them. */
  private List<String> earlierBoots(String ownKey) {
    return views.hosts().entries().stream()
        .map(Entry::key)
        .filter(k -> k.startsWith(KeyNames.hostPrefix(host.id())) && !k.equals(ownKey))
        .limit(MAX_EARLIER)
        .toList();
  }

  private void onWritten(Lease granted, WriteOutcome outcome) {
    if (!(outcome instanceof WriteOutcome.Done)) {
      later(this::grant);
      return;
    }
    lease = Option.some(granted);
    LOG.write(Event.HOST_REGISTERED, host.id(), host.boot(), granted.id().value());
    onNewTerm.run();
    timer.schedule(this::renew, RENEWAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void renew() {
    if (stopped || lease.isEmpty()) {
      return;
    }
    store.renewLease(lease.get().id()).thenAccept(this::onRenewed);
  }

  private void onRenewed(Either<StoreFailure, Lease> answer) {
    if (answer.isRight()) {
      lease = Option.some(answer.get());
    } else if (answer.getLeft().kind() == StoreFailure.Kind.LEASE_GONE) {
      LOG.write(Event.HOST_LEASE_LOST, answer.getLeft().message());
      grant();
      return;
    }
    long pause = answer.isRight() ? RENEWAL.toMillis() : RETRY.toMillis();
    timer.schedule(this::renew, pause, TimeUnit.MILLISECONDS);
  }
}
