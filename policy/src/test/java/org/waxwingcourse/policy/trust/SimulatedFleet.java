package org.waxwingcourse.policy.trust;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.policy.configuration.Delta;
import org.waxwingcourse.policy.configuration.Document;
import org.waxwingcourse.policy.configuration.DocumentFollower;
import org.waxwingcourse.policy.configuration.Part;

/**
 * Simulated hosts that run the agreement over a network and a store whose faults are controlled by
 * the test.
 */
final class SimulatedFleet {
  private static final int DATA_CENTRES = 3;
  static final Duration TICK_INTERVAL = Duration.ofMillis(200);
  private static final Defaults DEFAULTS =
      new Defaults(Rate.of(1, 1), 1, Duration.ZERO, Duration.ZERO, Duration.ZERO, 1, 1);

  final ManualClock clock = ManualClock.at(Instant.parse("2026-01-01T00:00:00Z"));
  final List<Host> hosts = new ArrayList<>();
  final Set<String> blockedLinks = new HashSet<>();
  final Map<String, Integer> storeCalls = new HashMap<>();
  boolean storeUp = true;
  double lossProbability;
  double duplicationProbability;
  int maxDelayMillis = 3;
  int messages;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::sequence));
  private long sequence;
  private long revision;
  private Document configuration = Document.EMPTY;
  private Document roster = Document.EMPTY;

  SimulatedFleet(int size, long seed, String... keys) {
    random = new Random(seed);
    storeConfiguration(keys);
    for (int i = 0; i < size; i++) {
      hosts.add(new Host(i, 1));
    }
  }

  private record Event(Instant at, long sequence, Runnable action) {}

  /** Stores a configuration with exactly the given keys. */
  void storeConfiguration(String... keys) {
    Revision next = Revision.of(++revision);
    byte[] content = String.join(",", keys).getBytes(StandardCharsets.UTF_8);
    Delta delta = Delta.of(configuration.revision(), next, List.of(Part.of("keys", next, content)));
    configuration = configuration.with(delta);
    hosts.stream()
        .filter(h -> h.receivesWatch && h.reachesStore())
        .forEach(h -> schedule(3, h.unlessPaused(() -> h.agreement.onWatchedConfiguration(delta))));
  }

  void run(Duration time) {
    Instant end = clock.instant().plus(time);
    while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
      Event e = events.poll();
      clock.advance(Duration.between(clock.instant(), e.at()));
      e.action().run();
    }
    clock.advance(Duration.between(clock.instant(), end));
  }

  /** Returns whether messages from one host reach another. */
  boolean isConnected(HostId from, HostId to) {
    return !blockedLinks.contains(from + " " + to);
  }

  /**
   * Schedules the delivery of a message, which may be lost or duplicated according to the
   * configured faults.
   */
  void transmit(HostId from, HostId to, Consumer<Host> deliver) {
    messages++;
    int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossProbability && isConnected(from, to)) {
        schedule(
            1 + random.nextInt(maxDelayMillis),
            () ->
                hosts.stream()
                    .filter(h -> h.id.equals(to))
                    .forEach(h -> h.unlessPaused(() -> deliver.accept(h)).run()));
      }
    }
  }

  void disconnect(Host a, Host b) {
    blockedLinks.add(a.id + " " + b.id);
    blockedLinks.add(b.id + " " + a.id);
  }

  void disconnectFromPeers(Host host) {
    hosts.stream().filter(h -> h != host).forEach(h -> disconnect(host, h));
  }

  Host restart(Host host) {
    host.stopped = true;
    Host next = new Host(hosts.indexOf(host), host.incarnation + 1);
    hosts.set(hosts.indexOf(host), next);
    return next;
  }

  void schedule(long millis, Runnable action) {
    events.add(new Event(clock.instant().plusMillis(millis), sequence++, action));
  }

  private void recordStoreCall(String call) {
    storeCalls.merge(call, 1, Integer::sum);
  }

  private static Either<String, FleetConfiguration> decode(Document document) {
    Map<OrganisationId, Organisation> organisations = new HashMap<>();
    Part part = document.parts().get("keys");
    if (part.content().length == 0) {
      return Either.left("entry \"keys\" is empty");
    }
    for (String text : new String(part.content(), StandardCharsets.UTF_8).split(",")) {
      String[] fields = text.split(":");
      OrganisationId id = OrganisationId.of(fields[0]);
      Rate rate =
          fields.length == 1
              ? Rate.of(1, 1)
              : Rate.of(Double.parseDouble(fields[1]), Integer.parseInt(fields[2]));
      organisations.put(id, new Organisation(id, rate, Set.of(KeyHash.ofKey(fields[0]))));
    }
    return Either.right(
        new FleetConfiguration(
            document.revision(), DEFAULTS, organisations, Map.of(), Map.of(), List.of()));
  }

  static Either<String, Roster> decodeRoster(Document document) {
    String text = new String(document.parts().get("roster").content(), StandardCharsets.UTF_8);
    String[] fields = text.split(",");
    List<Holder> holders =
        Arrays.stream(fields).skip(2).map(f -> f.split(":")).map(SimulatedFleet::holder).toList();
    Revision previous = Revision.of(Long.parseLong(fields[0]));
    Revision grown = Revision.of(Long.parseLong(fields[1]));
    return Either.right(new Roster(document.revision(), previous, grown, holders));
  }

  private static Holder holder(String[] f) {
    HostId id = HostId.of(f[0]);
    return Holder.of(id, dataCentre(id), Long.parseLong(f[1]));
  }

  private static DataCentreId dataCentre(HostId id) {
    return DataCentreId.of("dc" + Integer.parseInt(id.value().substring(1)) % DATA_CENTRES);
  }

  /** A host with its own faults. */
  final class Host implements TrustPort {
    final HostId id;
    final long incarnation;
    final Holder self;
    final Evidence evidence = new Evidence(clock);
    final DocumentFollower<FleetConfiguration> configurationFollower =
        new DocumentFollower<>(SimulatedFleet::decode);
    final DocumentFollower<Roster> rosterFollower =
        new DocumentFollower<>(SimulatedFleet::decodeRoster);
    final KeyTrust keys = new KeyTrust(evidence, clock);
    final List<Long> revisions = new ArrayList<>();
    final Agreement agreement;
    final RosterChanger rosterChanger;
    final Set<HostId> deadHosts = new HashSet<>();
    boolean disconnectedFromStore;
    boolean receivesWatch = true;
    boolean stopped;
    boolean paused;
    private final List<Runnable> deferredActions = new ArrayList<>();

    Host(int index, long incarnation) {
      this.id = HostId.of("h" + index);
      this.incarnation = incarnation;
      self = Holder.of(id, dataCentre(id), incarnation);
      Random own = new Random(random.nextLong());
      agreement =
          new Agreement(
              self,
              clock,
              own,
              this::others,
              this,
              configurationFollower,
              rosterFollower,
              evidence);
      rosterChanger =
          new RosterChanger(self, clock, own, this, rosterFollower, agreement, deadHosts::contains);
      configurationFollower.onChange(keys::onConfiguration);
      configurationFollower.onChange(c -> revisions.add(c.revision().value()));
      schedule(random.nextInt((int) TICK_INTERVAL.toMillis()), this::tick);
    }

    boolean acceptsKey(String key) {
      return !stopped && keys.authenticate(KeyHash.ofKey(key)).isRight();
    }

    boolean reachesStore() {
      return storeUp && !disconnectedFromStore && !stopped;
    }

    void pause() {
      paused = true;
    }

    void resume() {
      paused = false;
      List<Runnable> due = List.copyOf(deferredActions);
      deferredActions.clear();
      due.forEach(action -> unlessPaused(action).run());
    }

    Runnable unlessPaused(Runnable action) {
      return () -> {
        if (paused) {
          deferredActions.add(action);
        } else if (!stopped) {
          action.run();
        }
      };
    }

    private List<HostId> others() {
      return hosts.stream().map(h -> h.id).filter(h -> !h.equals(id)).toList();
    }

    private void tick() {
      if (stopped) {
        return;
      }
      unlessPaused(
              () -> {
                agreement.tick();
                rosterChanger.tick(agreement.storeAnswers());
                keys.tick();
              })
          .run();
      schedule(TICK_INTERVAL.toMillis(), this::tick);
    }

    @Override
    public void send(HostId to, TrustMessage message) {
      transmit(id, to, h -> h.handle(id, message));
    }

    private void handle(HostId from, TrustMessage message) {
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

    @Override
    public void readHeads() {
      recordStoreCall("read");
      Instant sentAt = clock.instant();
      schedule(
          1,
          () -> {
            Versions heads = Versions.of(configuration.revision(), roster.revision());
            boolean reached = reachesStore();
            schedule(
                1,
                unlessPaused(
                    () -> {
                      if (reached) {
                        agreement.onHeads(sentAt, heads);
                      } else {
                        agreement.onHeadsFailed();
                      }
                    }));
          });
    }

    @Override
    public void readDocuments() {
      recordStoreCall("whole read");
      if (reachesStore()) {
        Delta whole = configuration.since(Revision.NONE);
        Delta wholeRoster = roster.since(Revision.NONE);
        schedule(
            2,
            unlessPaused(
                () -> {
                  agreement.onWatchedConfiguration(whole);
                  agreement.onWatchedRoster(wholeRoster);
                }));
      }
    }

    @Override
    public void writeRoster(Roster change) {
      recordStoreCall("write");
      if (!reachesStore() || !roster.revision().equals(change.previous())) {
        return;
      }
      Revision next = Revision.of(++revision);
      StringBuilder text = new StringBuilder();
      text.append(change.previous().value()).append(",").append(change.grownSince().value());
      change
          .holders()
          .forEach(h -> text.append(",").append(h.host()).append(":").append(h.incarnation()));
      byte[] content = text.toString().getBytes(StandardCharsets.UTF_8);
      Delta delta = Delta.whole(next, List.of(Part.of("roster", next, content)));
      roster = roster.with(delta);
      hosts.stream()
          .filter(h -> h.receivesWatch && h.reachesStore())
          .forEach(h -> schedule(3, h.unlessPaused(() -> h.agreement.onWatchedRoster(delta))));
    }
  }
}
