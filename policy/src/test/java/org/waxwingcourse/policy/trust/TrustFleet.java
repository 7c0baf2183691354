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

/** Hosts that agree over a network and a store whose faults are set by the test. */
final class TrustFleet {
  private static final int DATA_CENTRES = 3;
  static final Duration TICK = Duration.ofMillis(200);
  private static final Defaults DEFAULTS =
      new Defaults(Rate.of(1, 1), 1, Duration.ZERO, Duration.ZERO, Duration.ZERO, 1, 1);

  final ManualClock clock = ManualClock.at(Instant.parse("2026-01-01T00:00:00Z"));
  final List<Host> hosts = new ArrayList<>();
  final Set<String> cutLinks = new HashSet<>();
  final Map<String, Integer> storeCalls = new HashMap<>();
  boolean storeUp = true;
  double loss;
  double doubling;
  int slowest = 3;
  int messages;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
  private long order;
  private long revision;
  private Document configuration = Document.EMPTY;
  private Document roster = Document.EMPTY;

  TrustFleet(int size, long seed, String... keys) {
    random = new Random(seed);
    store(keys);
    for (int i = 0; i < size; i++) {
      hosts.add(new Host(i, 1));
    }
  }

  private record Event(Instant at, long order, Runnable action) {}

  /** Accepts a configuration in which exactly these keys work. */
  void store(String... keys) {
    Revision next = Revision.of(++revision);
    byte[] content = String.join(",", keys).getBytes(StandardCharsets.UTF_8);
    Delta delta = Delta.of(configuration.revision(), next, List.of(Part.of("keys", next, content)));
    configuration = configuration.with(delta);
    hosts.stream()
        .filter(h -> h.watchWorks && h.hearsStore())
        .forEach(h -> later(3, h.deferred(() -> h.agreement.onWatchedConfiguration(delta))));
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

  /** Tells whether messages from one host reach another. */
  boolean connects(HostId from, HostId to) {
    return !cutLinks.contains(from + " " + to);
  }

  /** Schedules copies of a message as the network's faults have it. */
  void transmit(HostId from, HostId to, Consumer<Host> deliver) {
    messages++;
    int copies = random.nextDouble() < doubling ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= loss && connects(from, to)) {
        later(
            1 + random.nextInt(slowest),
            () ->
                hosts.stream()
                    .filter(h -> h.id.equals(to))
                    .forEach(h -> h.deferred(() -> deliver.accept(h)).run()));
      }
    }
  }

  void cut(Host a, Host b) {
    cutLinks.add(a.id + " " + b.id);
    cutLinks.add(b.id + " " + a.id);
  }

  void cutFromPeers(Host host) {
    hosts.stream().filter(h -> h != host).forEach(h -> cut(host, h));
  }

  Host restart(Host host) {
    host.stopped = true;
    Host next = new Host(hosts.indexOf(host), host.incarnation + 1);
    hosts.set(hosts.indexOf(host), next);
    return next;
  }

  void later(long millis, Runnable action) {
    events.add(new Event(clock.instant().plusMillis(millis), order++, action));
  }

  private void count(String call) {
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
        Arrays.stream(fields).skip(2).map(f -> f.split(":")).map(TrustFleet::holder).toList();
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

  /** One host with its own faults. */
  final class Host implements TrustPort {
    final HostId id;
    final long incarnation;
    final Holder self;
    final Evidence evidence = new Evidence(clock);
    final DocumentFollower<FleetConfiguration> follower =
        new DocumentFollower<>(TrustFleet::decode);
    final DocumentFollower<Roster> rosterFollower =
        new DocumentFollower<>(TrustFleet::decodeRoster);
    final KeyTrust keys = new KeyTrust(evidence, clock);
    final List<Long> revisions = new ArrayList<>();
    final Agreement agreement;
    final RosterChanger changer;
    final Set<HostId> dead = new HashSet<>();
    boolean cutFromStore;
    boolean watchWorks = true;
    boolean stopped;
    boolean paused;
    private final List<Runnable> heldBack = new ArrayList<>();

    Host(int index, long incarnation) {
      this.id = HostId.of("h" + index);
      this.incarnation = incarnation;
      self = Holder.of(id, dataCentre(id), incarnation);
      Random own = new Random(random.nextLong());
      agreement =
          new Agreement(self, clock, own, this::others, this, follower, rosterFollower, evidence);
      changer =
          new RosterChanger(self, clock, own, this, rosterFollower, agreement, dead::contains);
      follower.onChange(keys::onConfiguration);
      follower.onChange(c -> revisions.add(c.revision().value()));
      later(random.nextInt((int) TICK.toMillis()), this::tick);
    }

    boolean works(String key) {
      return !stopped && keys.authenticate(KeyHash.ofKey(key)).isRight();
    }

    boolean hearsStore() {
      return storeUp && !cutFromStore && !stopped;
    }

    void pause() {
      paused = true;
    }

    void resume() {
      paused = false;
      List<Runnable> due = List.copyOf(heldBack);
      heldBack.clear();
      due.forEach(action -> deferred(action).run());
    }

    Runnable deferred(Runnable action) {
      return () -> {
        if (paused) {
          heldBack.add(action);
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
      deferred(
              () -> {
                agreement.tick();
                changer.tick(agreement.storeAnswers());
                keys.tick();
              })
          .run();
      later(TICK.toMillis(), this::tick);
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
        changer.onClosed(from, m);
      }
    }

    @Override
    public void readHeads() {
      count("read");
      Instant sentAt = clock.instant();
      later(
          1,
          () -> {
            Versions heads = Versions.of(configuration.revision(), roster.revision());
            boolean heard = hearsStore();
            later(
                1,
                deferred(
                    () -> {
                      if (heard) {
                        agreement.onHeads(sentAt, heads);
                      } else {
                        agreement.onHeadsFailed();
                      }
                    }));
          });
    }

    @Override
    public void readDocuments() {
      count("whole read");
      if (hearsStore()) {
        Delta whole = configuration.since(Revision.NONE);
        Delta wholeRoster = roster.since(Revision.NONE);
        later(
            2,
            deferred(
                () -> {
                  agreement.onWatchedConfiguration(whole);
                  agreement.onWatchedRoster(wholeRoster);
                }));
      }
    }

    @Override
    public void writeRoster(Roster change) {
      count("write");
      if (!hearsStore() || !roster.revision().equals(change.previous())) {
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
          .filter(h -> h.watchWorks && h.hearsStore())
          .forEach(h -> later(3, h.deferred(() -> h.agreement.onWatchedRoster(delta))));
    }
  }
}
