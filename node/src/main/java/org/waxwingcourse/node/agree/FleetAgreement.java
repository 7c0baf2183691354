package org.waxwingcourse.node.agree;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.waxwingcourse.config.store.ConfigurationCodec;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.request.Authenticator;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.policy.configuration.ConfigurationFollower;
import org.waxwingcourse.policy.configuration.DocumentFollower;
import org.waxwingcourse.policy.rate.RateAdmission;
import org.waxwingcourse.policy.trust.Agreement;
import org.waxwingcourse.policy.trust.AgreementStatus;
import org.waxwingcourse.policy.trust.Evidence;
import org.waxwingcourse.policy.trust.Holder;
import org.waxwingcourse.policy.trust.KeyTrust;
import org.waxwingcourse.policy.trust.Roster;
import org.waxwingcourse.policy.trust.RosterChanger;
import org.waxwingcourse.policy.trust.TrustMessage;
import org.waxwingcourse.policy.trust.TrustPort;
import org.waxwingcourse.store.Store;

/** Keeps the configuration, keys and rates of one node in agreement with the other hosts. */
public final class FleetAgreement implements Service {
  private static final EventLog LOG = EventLog.of(FleetAgreement.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final int TICKS_PER_ROSTER_CHECK = 10;
  private static final Duration UNKNOWN_HOST_GRACE_PERIOD = Duration.ofMinutes(1);
  private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(2);

  private final Holder self;
  private final InstantSource clock;
  private final Deadline unknownHostGraceEnd;
  private final Peers peers;
  private final MembershipView members;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final DocumentFollower<FleetConfiguration> configuration =
      new DocumentFollower<>(ConfigurationCodec::decode);
  private final DocumentFollower<Roster> roster = new DocumentFollower<>(RosterCodec::decode);
  private final StoredDocumentWatcher documents;
  private final Agreement agreement;
  private final RosterChanger rosterChanger;
  private final KeyTrust keyTrust;
  private final RateAdmission rateAdmission;
  private final AgreementMonitor monitor;
  private long ticks;

  /**
   * Creates the agreement of a node.
   *
   * @param clock monotonic clock of this host
   * @param random safe for use by several threads
   */
  public FleetAgreement(
      HostId host,
      DataCentreId dataCentre,
      InstantSource clock,
      RandomGenerator random,
      Store store,
      Peers peers,
      MembershipView members) {
    this.self = Holder.of(host, dataCentre, clock.instant().toEpochMilli());
    this.clock = clock;
    this.unknownHostGraceEnd = Deadline.after(clock, UNKNOWN_HOST_GRACE_PERIOD);
    this.peers = peers;
    this.members = members;
    this.documents = new StoredDocumentWatcher(store, clock, random, timer);
    Evidence evidence = new Evidence(clock);
    TrustPort port = new AgreementPort();
    agreement =
        new Agreement(self, clock, random, this::otherHosts, port, configuration, roster, evidence);
    rosterChanger = new RosterChanger(self, clock, random, port, roster, agreement, this::isDead);
    keyTrust = new KeyTrust(evidence, clock);
    rateAdmission =
        new RateAdmission(
            self,
            clock,
            evidence,
            random,
            (to, message) -> peers.send(to, Channel.RATE, RateCodec.encode(message)));
    monitor = new AgreementMonitor(clock);
    this.documents.setAgreement(agreement);
    registerListeners();
  }

  @Override
  public void start() {
    peers.handle(Channel.CONFIGURATION, this::onTrustMessage);
    peers.handle(Channel.RATE, this::onRateMessage);
    documents.openWatch();
    timer.scheduleAtFixedRate(
        this::tick, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Removes this process from the roster, which returns its rate shares, then stops. */
  @Override
  public void stop() {
    if (timer.isShutdown()) {
      return;
    }
    rosterChanger.leave();
    long end = System.nanoTime() + LEAVE_TIMEOUT.toNanos();
    RosterRemovalLatch removal = new RosterRemovalLatch(self);
    roster.onChange(removal::onRoster);
    if (agreement.storeAnswers() && isListed()) {
      removal.await(Duration.ofNanos(end - System.nanoTime()));
    }
    documents.stop();
    timer.shutdownNow();
  }

  /** Returns the configuration in force. */
  public ConfigurationSource configuration() {
    return new ConfigurationFollower(configuration);
  }

  /** Returns the authenticator of callers' keys. */
  public Authenticator authenticator() {
    return keyTrust;
  }

  /** Returns the admission by the organisations' rates. */
  public Admission admission() {
    return rateAdmission;
  }

  /** Returns the versions in force on this node, the age of their evidence and what is missing. */
  public AgreementStatus status() {
    return agreement.status();
  }

  /** Returns whether the node has a configuration, may act on it and can obtain rate tokens. */
  public boolean isReady() {
    return configuration.value().isPresent() && status().current() && reachesHolder();
  }

  private boolean reachesHolder() {
    Roster known = roster.value().orElse(Roster.EMPTY);
    boolean alone = known.holders().equals(List.of(self));
    return alone || otherHosts().stream().anyMatch(h -> known.find(h).isPresent());
  }

  /** Returns the status of this node and the last known versions of the other hosts as JSON. */
  public String statusJson() {
    return StatusJson.toJson(self.host(), status(), rosterSize(), agreement.others()).toString();
  }

  /** Returns the number of processes on the roster. */
  public int rosterSize() {
    return roster.value().map(r -> r.holders().size()).orElse(0);
  }

  private void registerListeners() {
    configuration.onChange(keyTrust::onConfiguration);
    configuration.onChange(rateAdmission::onConfiguration);
    configuration.onChange(c -> LOG.write(Event.CONFIGURATION_APPLIED, c.revision().value()));
    roster.onChange(rateAdmission::onRoster);
    roster.onChange(r -> LOG.write(Event.ROSTER_APPLIED, r.revision().value(), r.holders().size()));
  }

  private void tick() {
    try {
      agreement.tick();
      if (ticks++ % TICKS_PER_ROSTER_CHECK == 0) {
        rosterChanger.tick(agreement.storeAnswers());
      }
      keyTrust.tick();
      rateAdmission.tick();
      monitor.check(agreement.status(), configuration.fault());
    } catch (RuntimeException e) {
      LOG.write(Event.AGREEMENT_FAILED, e.toString());
    }
  }

  private void onTrustMessage(HostId from, byte[] payload) {
    TrustCodec.decode(payload)
        .peek(message -> onDecodedMessage(from, message))
        .peekLeft(fault -> LOG.write(Event.AGREEMENT_MESSAGE_UNREADABLE, from, fault));
  }

  private void onRateMessage(HostId from, byte[] payload) {
    RateCodec.decode(payload)
        .peek(message -> rateAdmission.onMessage(from, message))
        .peekLeft(fault -> LOG.write(Event.RATE_MESSAGE_UNREADABLE, from, fault));
  }

  private void onDecodedMessage(HostId from, TrustMessage message) {
    if (message instanceof TrustMessage.Ask m) {
      agreement.onAsk(from, m);
    } else if (message instanceof TrustMessage.Answer m) {
      agreement.onAnswer(from, m);
    } else if (message instanceof TrustMessage.CloseRoster m) {
      agreement.onClose(from, m);
    } else if (message instanceof TrustMessage.RosterClosed m) {
      rosterChanger.onClosed(from, m);
    }
  }

  private void runOnTimer(Runnable call) {
    try {
      timer.execute(call);
    } catch (RejectedExecutionException e) {
      LOG.write(Event.AGREEMENT_FAILED, "the node has stopped, a store call is dropped");
    }
  }

  private boolean isListed() {
    return roster.value().filter(r -> r.lists(self.host(), self.incarnation())).isPresent();
  }

  private List<HostId> otherHosts() {
    return members.members().stream()
        .map(Member::id)
        .filter(id -> !id.equals(self.host()))
        .toList();
  }

  private boolean isDead(HostId host) {
    Optional<Member> member = members.find(host);
    return member
        .map(m -> m.state() == MemberState.DEAD)
        .orElseGet(() -> unknownHostGraceEnd.isPast(clock.instant()));
  }

  /**
   * Sends messages to other hosts and requests to the store. The agreement calls this port while it
   * holds its lock and the store may call back synchronously, so store calls run on the timer
   * thread.
   */
  private final class AgreementPort implements TrustPort {
    @Override
    public void send(HostId to, TrustMessage message) {
      peers.send(to, Channel.CONFIGURATION, TrustCodec.encode(message));
    }

    @Override
    public void readHeads() {
      runOnTimer(documents::readHeads);
    }

    @Override
    public void readDocuments() {
      runOnTimer(documents::readDocuments);
    }

    @Override
    public void writeRoster(Roster next) {
      runOnTimer(() -> documents.writeRoster(next));
    }
  }
}
