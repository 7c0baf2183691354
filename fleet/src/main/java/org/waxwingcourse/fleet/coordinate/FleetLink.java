package org.waxwingcourse.fleet.coordinate;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingcourse.fleet.view.ClockReading;
import org.waxwingcourse.fleet.view.Clocks;
import org.waxwingcourse.fleet.view.FleetHost;
import org.waxwingcourse.fleet.view.StoreFollower;
import org.waxwingcourse.fleet.view.StoreView;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.wire.fleet.BucketLevel;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

/**
 * Keeps a host attached to its coordinator. A host pings the first few candidates; their answers
 * show who is alive, vouch for the configuration and carry the views that the host lacks, so that
 * only the coordinator has to follow the store.
 */
public final class FleetLink {
  private static final EventLog LOG = EventLog.of(FleetLink.class);

  /** Candidates that are pinged all the time; two may be lost at once without a search. */
  private static final int CANDIDATES = 3;

  /**
   * Hosts up to which each tick pings. In a larger fleet the pause between pings, and with it every
   * limit on silence, grows in proportion, so that answering them costs a coordinator the same.
   */
  private static final int HOSTS_AT_FULL_PACE = 20;

  /** A host that has not answered for this long is taken for lost; three pings and a margin. */
  private static final Duration ANSWER_LIMIT = Duration.ofMillis(450);

  /** A host that has not pinged for this long has detached. */
  private static final Duration ATTACH_LIMIT = Duration.ofMillis(1100);

  /** A host reads the store itself if it has done so within this time; two reads and a margin. */
  private static final Duration CONTACT_LIMIT = Duration.ofMillis(1500);

  /** How long a coordinator may be out of contact before this host follows the store too. */
  private static final Duration FOLLOW_AFTER = Duration.ofMillis(350);

  /** Answers to the same round of pings come within this time; a few round trips of a region. */
  private static final Duration ANSWERS_SPREAD = Duration.ofMillis(20);

  /** Hosts that start together find each other within this time. */
  private static final Duration SETTLE_TIME = Duration.ofMillis(800);

  /** Later than any moment to which a short time may still be added. */
  private static final Instant NEVER = Instant.MAX.minus(Duration.ofDays(1));

  private final FleetHost self;
  private final Peers peers;
  private final StoreView storeView;
  private final Clocks clocks;
  private final StoreFollower follower;
  private final Coordinator coordinator;
  private final SlotClient slots;
  private final Map<HostId, Answers> answers = new HashMap<>();
  private final Map<HostId, Attached> attached = new HashMap<>();
  private final Map<OrganisationId, Long> levels = new HashMap<>();
  private HostId target;
  private Instant firstTickAt;
  private Instant firstAnswerAt = NEVER;
  private long ticks;
  private Instant targetSince = Instant.MAX;
  private Instant contactAt;
  private Instant levelsAt = Instant.MIN;

  /** Creates the link of {@code self}, which is not attached to anyone. */
  public FleetLink(
      FleetHost self,
      Peers peers,
      StoreView storeView,
      Clocks clocks,
      StoreFollower follower,
      Coordinator coordinator,
      SlotClient slots) {
    this.self = self;
    this.peers = peers;
    this.storeView = storeView;
    this.clocks = clocks;
    this.follower = follower;
    this.coordinator = coordinator;
    this.slots = slots;
    this.contactAt = clocks.instant();
  }

  /** What the last answer of a host said, and when it came. */
  private record Answers(Instant at, boolean inContact) {}

  /** When an attached host pinged last. */
  private record Attached(Instant at, boolean takesCallers) {}

  /** Chooses the coordinator, pings, and looks after the hosts attached here. */
  public void tick() {
    Instant now = clocks.instant();
    List<HostId> order = order();
    HostId next;
    List<HostId> lost;
    synchronized (this) {
      next = CoordinatorChoice.choose(order, self.id(), h -> answers(h, now), h -> inContact(h));
      lost = dropDetached(now);
    }
    lost.forEach(this::detached);
    if (!next.equals(target) && knowsFleet(order, now)) {
      changeTarget(next, now);
    }
    slots.tick();
    ticks++;
    if (target == null || ticks % pace() == 0) {
      ping(order, now);
    }
    follow(next, now);
    coordinator.part(part());
  }

  /**
   * Lets a host that has just started choose as soon as the others have had time to answer, without
   * waiting for its next tick.
   */
  public void attachEarly() {
    if (hasFirstAnswers()) {
      tick();
    }
  }

  private synchronized boolean hasFirstAnswers() {
    return target == null && clocks.instant().isAfter(firstAnswerAt.plus(ANSWERS_SPREAD));
  }

  /** Tells whether slots can be had: a coordinator that reads the store has been chosen. */
  public synchronized boolean isAttached() {
    return target != null && inContact(target);
  }

  /** Tells whether this host has been the coordinator for long enough to act for the fleet. */
  public synchronized boolean isSettledCoordinator() {
    return self.id().equals(target)
        && inContact(target)
        && clocks.instant().isAfter(targetSince.plus(SETTLE_TIME));
  }

  void onPing(HostId from, Ping ping) {
    if (ping.getAttached()) {
      Attached now = new Attached(clocks.instant(), ping.getTakesCallers());
      boolean isNew;
      synchronized (this) {
        isNew = attached.put(from, now) == null;
      }
      if (isNew) {
        coordinator.part(part());
      }
    }
    Pong.Builder pong =
        Pong.newBuilder()
            .setSentNanos(ping.getSentNanos())
            .setSentMillis(ping.getSentMillis())
            .setBoot(self.boot())
            .setInContact(storeView.evidence().isOwnReadWithin(CONTACT_LIMIT))
            .setConfigurationRevision(storeView.planRevision().value());
    storeView
        .evidence()
        .age()
        .forEach(a -> pong.setHasEvidence(true).setEvidenceAgeNanos(a.toNanos()));
    storeView
        .document()
        .filter(d -> d.revision().value() > ping.getConfiguration())
        .forEach(d -> pong.setConfiguration(ByteString.copyFrom(d.bytes())));
    if (storeView.engineTable().revision().value() > ping.getEngines()) {
      pong.setEngines(FleetMessages.table(storeView.engineTable()));
    }
    if (storeView.hostTable().revision().value() > ping.getHosts()) {
      pong.setHosts(FleetMessages.table(storeView.hostTable()));
    }
    if (ping.getAttached()) {
      coordinator
          .levels()
          .forEach(
              (id, amount) ->
                  pong.addBuckets(
                      BucketLevel.newBuilder().setOrganisation(id.value()).setAmount(amount)));
    }
    send(from, FleetMessage.newBuilder().setPong(pong));
  }

  void onPong(HostId from, Pong pong) {
    Instant now = clocks.instant();
    synchronized (this) {
      firstAnswerAt = answers.isEmpty() ? now : firstAnswerAt;
      answers.put(from, new Answers(now, pong.getInContact()));
      if (from.equals(target) && pong.getBucketsCount() > 0) {
        levels.clear();
        pong.getBucketsList()
            .forEach(b -> levels.put(OrganisationId.of(b.getOrganisation()), b.getAmount()));
        levelsAt = now;
      }
    }
    Revision revision = Revision.of(pong.getConfigurationRevision());
    if (!pong.getConfiguration().isEmpty()) {
      storeView.applyIfNewer(
          new StoreView.ConfigurationDocument(revision, pong.getConfiguration().toByteArray()));
    }
    if (pong.hasEngines()) {
      FleetMessages.apply(pong.getEngines(), storeView.engineTable());
    }
    if (pong.hasHosts()) {
      FleetMessages.apply(pong.getHosts(), storeView.hostTable());
    }
    if (pong.getHasEvidence() && !revision.isAfter(storeView.planRevision())) {
      ClockReading sent = FleetMessages.stamp(pong.getSentNanos(), pong.getSentMillis());
      storeView
          .evidence()
          .recordPeerProof(sent.minus(Duration.ofNanos(pong.getEvidenceAgeNanos())));
    }
  }

  /**
   * Tells whether this host may choose. One that has just started first hears the others: alone it
   * would coordinate for a moment with empty buckets and refuse what the fleet has room for.
   */
  private synchronized boolean knowsFleet(List<HostId> order, Instant now) {
    if (firstTickAt == null) {
      firstTickAt = now;
    }
    Duration patience = ANSWER_LIMIT.multipliedBy(pace());
    return target != null
        || order.size() == 1
        || !answers.isEmpty()
        || now.isAfter(firstTickAt.plus(patience));
  }

  private int pace() {
    return 1 + storeView.fleetHosts().inRegistrationOrder().size() / HOSTS_AT_FULL_PACE;
  }

  private List<HostId> order() {
    List<HostId> order =
        new ArrayList<>(
            storeView.fleetHosts().inRegistrationOrder().stream()
                .filter(h -> !h.leaving())
                .map(FleetHost::id)
                .toList());
    if (!order.contains(self.id())) {
      order.add(self.id());
    }
    return order;
  }

  private boolean answers(HostId host, Instant now) {
    Answers last = answers.get(host);
    return last != null && now.isBefore(last.at.plus(ANSWER_LIMIT.multipliedBy(pace())));
  }

  private boolean inContact(HostId host) {
    if (host.equals(self.id())) {
      return storeView.evidence().isOwnReadWithin(CONTACT_LIMIT);
    }
    Answers last = answers.get(host);
    return last != null && last.inContact;
  }

  private void changeTarget(HostId next, Instant now) {
    HostId before;
    synchronized (this) {
      before = target;
      target = next;
      targetSince = now;
      contactAt = now;
      if (next.equals(self.id()) && now.isBefore(levelsAt.plus(ATTACH_LIMIT))) {
        coordinator.inherit(levels);
      }
    }
    LOG.write(Event.COORDINATOR_CHOSEN, next, before, storeView.hostTable().revision().value());
    if (!next.equals(self.id())) {
      ping(next);
    }
    slots.attach(next);
  }

  private void ping(List<HostId> order, Instant now) {
    Set<HostId> whom = new HashSet<>(order.subList(0, Math.min(CANDIDATES, order.size())));
    if (target != null) {
      whom.add(target);
    }
    boolean none = whom.stream().noneMatch(h -> answers(h, now));
    if (none) {
      whom.addAll(order);
    }
    whom.remove(self.id());
    whom.forEach(this::ping);
  }

  private void ping(HostId host) {
    ClockReading sent = clocks.now();
    Ping.Builder ping =
        Ping.newBuilder()
            .setSentNanos(FleetMessages.nanos(sent.steady()))
            .setSentMillis(sent.wall().toEpochMilli())
            .setBoot(self.boot())
            .setAttached(host.equals(target))
            .setConfiguration(storeView.planRevision().value())
            .setEngines(storeView.engineTable().revision().value())
            .setHosts(storeView.hostTable().revision().value())
            .setTakesCallers(self.takesCallers());
    send(host, FleetMessage.newBuilder().setPing(ping));
  }

  private void follow(HostId chosen, Instant now) {
    boolean serves;
    boolean starved;
    synchronized (this) {
      if (inContact(chosen) && !chosen.equals(self.id())) {
        contactAt = now;
      }
      serves = chosen.equals(self.id()) || !attached.isEmpty();
      starved = now.isAfter(contactAt.plus(FOLLOW_AFTER));
    }
    follower.setFollowing(serves || starved);
  }

  private List<HostId> dropDetached(Instant now) {
    List<HostId> lost =
        attached.entrySet().stream()
            .filter(e -> now.isAfter(e.getValue().at.plus(ATTACH_LIMIT.multipliedBy(pace()))))
            .map(Map.Entry::getKey)
            .toList();
    lost.forEach(attached::remove);
    return lost;
  }

  private void detached(HostId host) {
    LOG.write(Event.HOST_DETACHED, host, ATTACH_LIMIT.multipliedBy(pace()).toMillis());
    coordinator.hostGone(host);
  }

  /** Returns the part of the hosts that take callers which is attached here. */
  private synchronized double part() {
    int all = storeView.fleetHosts().callerHosts().size();
    long here = attached.values().stream().filter(Attached::takesCallers).count();
    if (self.id().equals(target) && self.takesCallers()) {
      here++;
    }
    return all == 0 ? 1 : Math.min(1, (double) here / all);
  }

  private void send(HostId to, FleetMessage.Builder message) {
    peers.send(to, Channel.FLEET, message.build().toByteArray());
  }
}
