package org.waxwingcourse.fleet.coordinate;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.waxwingcourse.fleet.reach.ReachMonitor;
import org.waxwingcourse.fleet.relay.RelayHosts;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.Ping;
import org.waxwingcourse.wire.fleet.Pong;

/**
 * The parts of pings and pongs by which hosts that reach no engine make that known and learn which
 * hosts do.
 *
 * <p>Safe for use by several threads.
 */
final class ReachExchange {
  /** Maximum number of hosts that a pong names. */
  private static final int MAX_NAMED = 8;

  private final HostId self;
  private final Coordinator coordinator;
  private final ReachMonitor reach;
  private final RelayHosts relays;
  private final BooleanSupplier acceptsRelays;

  /** Attached hosts that send requests for others. */
  private final Set<HostId> relaying = new HashSet<>();

  /**
   * Creates an exchange.
   *
   * @param acceptsRelays whether this host sends requests for others now
   */
  ReachExchange(
      HostId self,
      Coordinator coordinator,
      ReachMonitor reach,
      RelayHosts relays,
      BooleanSupplier acceptsRelays) {
    this.self = self;
    this.coordinator = coordinator;
    this.reach = reach;
    this.relays = relays;
    this.acceptsRelays = acceptsRelays;
  }

  void addTo(Ping.Builder ping) {
    ping.setEnginesOutOfReach(reach.isOutOfReach()).setRelays(acceptsRelays.getAsBoolean());
  }

  void apply(HostId from, Ping ping) {
    if (!ping.getAttached()) {
      return;
    }
    coordinator.setOutOfReach(from, ping.getEnginesOutOfReach());
    synchronized (this) {
      if (ping.getRelays()) {
        relaying.add(from);
      } else {
        relaying.remove(from);
      }
    }
  }

  /** Names some hosts that reach engines to a host that reaches none. */
  void addTo(Pong.Builder pong, Ping ping, Supplier<List<HostId>> attached) {
    if (ping.getEnginesOutOfReach()) {
      pong.setNamesRelays(true);
      chooseReaching(attached.get()).forEach(h -> pong.addRelays(h.value()));
    }
  }

  void apply(Pong pong) {
    if (pong.getNamesRelays()) {
      relays.update(pong.getRelaysList().stream().map(HostId::of).toList());
    } else {
      relays.clear();
    }
  }

  /** Updates what this host knows of itself as the coordinator of the attached hosts. */
  void updateOwn(Supplier<List<HostId>> attached) {
    coordinator.setOutOfReach(self, reach.isOutOfReach());
    if (reach.isOutOfReach()) {
      relays.update(chooseReaching(attached.get()));
    } else {
      relays.clear();
    }
  }

  synchronized void removeHost(HostId host) {
    relaying.remove(host);
  }

  private synchronized List<HostId> chooseReaching(List<HostId> attached) {
    List<HostId> reaching = new ArrayList<>(attached);
    reaching.removeIf(h -> h.equals(self) ? !acceptsRelays.getAsBoolean() : !relaying.contains(h));
    Collections.shuffle(reaching);
    return reaching.subList(0, Math.min(MAX_NAMED, reaching.size()));
  }
}
