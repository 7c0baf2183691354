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

/** Configuration, keys and rates of one node, as agreed with the other hosts. */
public final class FleetAgreement implements Service {
  private static final EventLog LOG = EventLog.of(FleetAgreement.class);
  private static final Duration TICK = Duration.ofMillis(50);
  private static final int ROSTER_TICKS = 10;
  private static final Duration UNKNOWN_IS_DEAD_AFTER = Duration.ofMinutes(1);
  private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(2);

  private final Holder self;
  private final InstantSource clock;
  private final Deadline unknownIsDead;
  private final Peers peers;
  private final MembershipView members;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final DocumentFollower<FleetConfiguration> configuration =
      new DocumentFollower<>(ConfigurationCodec::decode);
  private final DocumentFollower<Roster> roster = new DocumentFollower<>(RosterCodec::decode);
  private final StoreLink store;
  private final Agreement agreement;
  private final RosterChanger changer;
  private final KeyTrust keys;
  private final RateAdmission rates;
  private final LagAlarm alarm;
  private long ticks;

  /**
   * Creates the agreement of a node.
   *
   * @param clock monotonic time
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
    this.unknownIsDead = Deadline.after(clock, UNKNOWN_IS_DEAD_AFTER);
    this.peers = peers;
    this.members = members;
    this.store = new StoreLink(store, clock, random, timer);
    Evidence evidence = new Evidence(clock);
    TrustPort port = new Port();
    agreement =
        new Agreement(self, clock, random, this::others, port, configuration, roster, evidence);
    changer = new RosterChanger(self, clock, random, port, roster, agreement, this::isDead);
    keys = new KeyTrust(evidence, clock);
    rates =
        new RateAdmission(
            self,
            clock,
            evidence,
            random,
            (to, message) -> peers.send(to, Channel.RATE, RateCodec.encode(message)));
    alarm = new LagAlarm(clock);
    this.store.attach(agreement);
    follow();
  }

  @Override
  public void start() {
    peers.handle(Channel.CONFIGURATION, this::onTrustMessage);
    peers.handle(Channel.RATE, this::onRateMessage);
    store.openWatch();
    timer.scheduleAtFixedRate(this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Gives the node's shares back, then stops. */
  @Override
  public void stop() {
    if (timer.isShutdown()) {
      return;
    }
    changer.leave();
    long end = System.nanoTime() + LEAVE_TIMEOUT.toNanos();
    RosterDeparture departure = new RosterDeparture(self);
    roster.onChange(departure::onRoster);
    if (agreement.storeAnswers() && isListed()) {
      departure.await(Duration.ofNanos(end - System.nanoTime()));
    }
    store.stop();
    timer.shutdownNow();
  }

  /** Returns the configuration in force. */
  public ConfigurationSource configuration() {
    return new ConfigurationFollower(configuration);
  }

  /** Returns the judge of callers' keys. */
  public Authenticator authenticator() {
    return keys;
  }

  /** Returns the judge of rates. */
  public Admission admission() {
    return rates;
  }

  /** Returns what this node knows about its own lag. */
  public AgreementStatus status() {
    return agreement.status();
  }

  /** Tells whether the node has a configuration, may act on it and can get tokens. */
  public boolean isReady() {
    return configuration.value().isPresent() && status().current() && reachesHolder();
  }

  private boolean reachesHolder() {
    Roster known = roster.value().orElse(Roster.EMPTY);
    boolean alone = known.holders().equals(List.of(self));
    return alone || others().stream().anyMatch(h -> known.find(h).isPresent());
  }

  /** Returns the same, and what is known of the other hosts, as JSON. */
  public String statusJson() {
    return StatusJson.write(self.host(), status(), listed(), agreement.others()).toString();
  }

  /** Returns how many processes the roster lists. */
  public int listed() {
    return roster.value().map(r -> r.holders().size()).orElse(0);
  }

  private void follow() {
    configuration.onChange(keys::onConfiguration);
    configuration.onChange(rates::onConfiguration);
    configuration.onChange(c -> LOG.write(Event.CONFIGURATION_APPLIED, c.revision().value()));
    roster.onChange(rates::onRoster);
    roster.onChange(r -> LOG.write(Event.ROSTER_APPLIED, r.revision().value(), r.holders().size()));
  }

  private void tick() {
    try {
      agreement.tick();
      if (ticks++ % ROSTER_TICKS == 0) {
        changer.tick(agreement.storeAnswers());
      }
      keys.tick();
      rates.tick();
      alarm.check(agreement.status(), configuration.fault());
    } catch (RuntimeException e) {
      LOG.write(Event.AGREEMENT_FAILED, e.toString());
    }
  }

  private void onTrustMessage(HostId from, byte[] payload) {
    TrustCodec.decode(payload)
        .peek(message -> handle(from, message))
        .peekLeft(fault -> LOG.write(Event.AGREEMENT_MESSAGE_UNREADABLE, from, fault));
  }

  private void onRateMessage(HostId from, byte[] payload) {
    RateCodec.decode(payload)
        .peek(message -> rates.onMessage(from, message))
        .peekLeft(fault -> LOG.write(Event.RATE_MESSAGE_UNREADABLE, from, fault));
  }

  private void handle(HostId from, TrustMessage message) {
    if (message instanceof TrustMessage.Ask m) {
      agreement.onAsk(from, m);
    } else if (message instanceof TrustMessage.Answer m) {
      agreement.onAnswer(from, m);
    } else if (message instanceof TrustMessage.CloseRoster m) {
      agreement.onClose(from, m);
    } else if (message instanceof TrustMessage.RosterClosed m) {
      changer.onClosed(from, m);
    }
  }

  private void later(Runnable call) {
    try {
      timer.execute(call);
    } catch (RejectedExecutionException e) {
      LOG.write(Event.AGREEMENT_FAILED, "the node has stopped");
    }
  }

  private boolean isListed() {
    return roster.value().filter(r -> r.lists(self.host(), self.incarnation())).isPresent();
  }

  private List<HostId> others() {
    return members.members().stream()
        .map(Member::id)
        .filter(id -> !id.equals(self.host()))
        .toList();
  }

  private boolean isDead(HostId host) {
    Optional<Member> member = members.find(host);
    return member
        .map(m -> m.state() == MemberState.DEAD)
        .orElseGet(() -> unknownIsDead.isPast(clock.instant()));
  }

  /**
   * Sends to other hosts and to the store. The agreement calls it under its lock, so the store,
   * which may answer at once, is called later from the timer's thread.
   */
  private final class Port implements TrustPort {
    @Override
    public void send(HostId to, TrustMessage message) {
      peers.send(to, Channel.CONFIGURATION, TrustCodec.encode(message));
    }

    @Override
    public void readHeads() {
      later(store::readHeads);
    }

    @Override
    public void readDocuments() {
      later(store::readDocuments);
    }

    @Override
    public void writeRoster(Roster next) {
      later(() -> store.writeRoster(next));
    }
  }
}
