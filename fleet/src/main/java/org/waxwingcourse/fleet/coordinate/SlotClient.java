package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.Running;
import org.waxwingcourse.wire.fleet.RunningList;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotEnd;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;
import org.waxwingcourse.wire.fleet.SlotSilence;
import org.waxwingcourse.wire.fleet.SlotWithdraw;

/**
 * Asks the coordinator for slots. Until one is known, what is asked for waits here. When another
 * host becomes coordinator it is told what runs here, and whatever still waits is asked for again.
 *
 * <p>Listeners are called on network threads, never from within a method of this class.
 */
public final class SlotClient {
  /** A request for a slot that is not decided is sent again this often. */
  private static final Duration ASK_AGAIN = Duration.ofMillis(300);

  /** The coordinator is told all that runs this often. */
  private static final Duration TELL_AGAIN = Duration.ofSeconds(1);

  private final Peers peers;
  private final InstantSource clock;
  private final DataCentreId dataCentre;
  private final AtomicLong numbers = new AtomicLong();
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
  private volatile Option<HostId> coordinator = Option.none();
  private volatile Instant toldAt = Instant.MIN;

  /** Creates a client of a host in {@code dataCentre} that knows of no coordinator. */
  public SlotClient(Peers peers, InstantSource clock, DataCentreId dataCentre) {
    this.peers = peers;
    this.clock = clock;
    this.dataCentre = dataCentre;
  }

  private static final class Pending {
    private final SlotWish wish;
    private final SlotListener listener;
    private volatile Instant askedAt;
    private volatile boolean asked;
    private volatile UpstreamId engine;

    Pending(SlotWish wish, SlotListener listener, Instant askedAt) {
      this.wish = wish;
      this.listener = listener;
      this.askedAt = askedAt;
    }
  }

  /** Asks for a slot and returns the number by which the run is named from now on. */
  public long ask(SlotWish wish, SlotListener listener) {
    long number = numbers.incrementAndGet();
    Pending p = new Pending(wish, listener, clock.instant());
    pending.put(number, p);
    sendAsk(number, p);
    return number;
  }

  /** A run has ended. */
  public void end(long number, RunEnd end) {
    if (pending.remove(number) == null) {
      return;
    }
    send(
        FleetMessage.newBuilder()
            .setEnd(
                SlotEnd.newBuilder()
                    .setNumber(number)
                    .setHow(SlotEnd.How.valueOf(end.how().name()))
                    .setFirstEventNanos(end.firstEventDelay().toNanos())
                    .setGapNanos(end.meanGap().toNanos())));
  }

  /** A slot that has not been granted is no longer wanted. */
  public void withdraw(long number) {
    if (pending.remove(number) != null) {
      send(FleetMessage.newBuilder().setWithdraw(SlotWithdraw.newBuilder().setNumber(number)));
    }
  }

  /** A run has had no byte from its engine for longer than a sound engine takes. */
  public void silent(long number) {
    send(FleetMessage.newBuilder().setSilence(SlotSilence.newBuilder().setNumber(number)));
  }

  /** Returns the host that is asked, none before one is known. */
  public Option<HostId> coordinator() {
    return coordinator;
  }

  /** Takes another host as coordinator. */
  public void attach(HostId next) {
    coordinator = Option.some(next);
    sendRunning();
    pending.forEach(this::askAgain);
  }

  /**
   * Makes up for messages that were lost: asks again for what has not been decided, and tells now
   * and then all that runs. Called several times a second.
   */
  public void tick() {
    Instant now = clock.instant();
    pending.forEach(
        (number, p) -> {
          if (now.isAfter(p.askedAt.plus(ASK_AGAIN))) {
            askAgain(number, p);
          }
        });
    if (now.isAfter(toldAt.plus(TELL_AGAIN))) {
      sendRunning();
    }
  }

  private void askAgain(long number, Pending p) {
    if (p.engine == null) {
      p.askedAt = clock.instant();
      sendAsk(number, p);
    }
  }

  /** Asks for a slot. The organisation is charged with the first message that leaves this host. */
  private synchronized void sendAsk(long number, Pending p) {
    if (coordinator.isDefined()) {
      boolean first = !p.asked;
      p.asked = true;
      send(FleetMessage.newBuilder().setAsk(message(number, p.wish, first)));
    }
  }

  private void sendRunning() {
    RunningList.Builder running = RunningList.newBuilder();
    pending.forEach(
        (number, p) -> {
          if (p.engine != null) {
            running.addRuns(running(number, p));
          }
        });
    toldAt = clock.instant();
    send(FleetMessage.newBuilder().setRunning(running));
  }

  void onGrant(HostId from, SlotGrant grant) {
    Pending p = pending.get(grant.getNumber());
    if (p == null || p.engine != null) {
      returnSlot(from, grant);
      return;
    }
    p.engine = UpstreamId.of(grant.getEngine());
    p.listener.onGrant(p.engine, Duration.ofNanos(grant.getWaitedNanos()));
  }

  /** A slot that was asked for twice, or withdrawn meanwhile, goes back to whoever granted it. */
  private void returnSlot(HostId from, SlotGrant grant) {
    Pending running = pending.get(grant.getNumber());
    if (running != null && running.engine.value().equals(grant.getEngine())) {
      return;
    }
    SlotEnd.Builder end =
        SlotEnd.newBuilder().setNumber(grant.getNumber()).setHow(SlotEnd.How.CANCELLED);
    peers.send(from, Channel.FLEET, FleetMessage.newBuilder().setEnd(end).build().toByteArray());
  }

  void onRefusal(SlotRefusal refusal) {
    Pending p = pending.get(refusal.getNumber());
    if (p != null && p.engine == null && pending.remove(refusal.getNumber()) != null) {
      Instant retryAt = clock.instant().plusNanos(refusal.getRetryAfterNanos());
      p.listener.onRefusal(refusal.getOverRate(), retryAt, refusal.getReason());
    }
  }

  void onYield(long number) {
    Pending p = pending.remove(number);
    if (p != null) {
      p.listener.onYield();
    }
  }

  private SlotAsk message(long number, SlotWish wish, boolean first) {
    Instant now = clock.instant();
    return SlotAsk.newBuilder()
        .setNumber(number)
        .setRequest(wish.request().value())
        .setService(wish.service().value())
        .setBatch(wish.workClass() == WorkClass.BATCH)
        .setRank(wish.rank())
        .setOrganisation(wish.chargedTo().map(OrganisationId::value).getOrElse(""))
        .setCharge(first && wish.chargedTo().isDefined())
        .setStartWithinNanos(Duration.between(now, wish.startBy().at()).toNanos())
        .setGiveUpWithinNanos(wish.giveUpAt().remaining(now).toNanos())
        .addAllPromptParts(wish.promptParts())
        .setDataCentre(dataCentre.value())
        .addAllAvoid(wish.avoid().stream().map(UpstreamId::value).toList())
        .build();
  }

  private static Running.Builder running(long number, Pending p) {
    return Running.newBuilder()
        .setNumber(number)
        .setEngine(p.engine.value())
        .setService(p.wish.service().value())
        .setBatch(p.wish.workClass() == WorkClass.BATCH);
  }

  private void send(FleetMessage.Builder message) {
    coordinator.forEach(c -> peers.send(c, Channel.FLEET, message.build().toByteArray()));
  }
}
