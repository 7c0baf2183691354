package org.waxwingcourse.node.dispatch;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.policy.place.RendezvousHash;
import org.waxwingcourse.upstream.engine.EngineClient;

/**
 * The engines that this host owns or still has work for. The owner of an engine is found by
 * rendezvous hashing over the hosts that take work; while hosts disagree an engine has two owners
 * for a moment, which at worst fills it beyond its slots.
 */
final class EngineTable {
  private static final String KEY_PREFIX = "engine/";

  private final MembershipView members;
  private final EngineClient client;
  private final InstantSource clock;
  private final Executor actions;
  private final ConcurrentMap<UpstreamId, OwnedEngine> engines = new ConcurrentHashMap<>();

  EngineTable(MembershipView members, EngineClient client, InstantSource clock, Executor actions) {
    this.members = members;
    this.client = client;
    this.clock = clock;
    this.actions = actions;
  }

  /** Returns the host that owns the engine, this one while no host takes work. */
  HostId ownerOf(UpstreamId engine) {
    List<HostId> hosts = new ArrayList<>();
    for (Member member : members.members()) {
      if (member.takesWork()) {
        hosts.add(member.id());
      }
    }
    return RendezvousHash.owner(hosts, KEY_PREFIX + engine).orElseGet(() -> members.self().id());
  }

  boolean isOwn(UpstreamId engine) {
    return ownerOf(engine).equals(members.self().id());
  }

  /** Returns the engine's queue on this host, made at the first use. */
  OwnedEngine get(Engine engine) {
    return engines.computeIfAbsent(
        engine.id(), id -> new OwnedEngine(engine, client, clock, actions));
  }

  Optional<OwnedEngine> find(UpstreamId engine) {
    return Optional.ofNullable(engines.get(engine));
  }

  Collection<OwnedEngine> all() {
    return engines.values();
  }

  /** Takes the declared engines: changes those that are held, drops idle ones of other owners. */
  void declare(FleetConfiguration fleet) {
    for (Engine engine : fleet.engines().values()) {
      if (isOwn(engine.id())) {
        get(engine).declare(engine);
      }
    }
    engines.values().removeIf(e -> e.isIdle() && !(isDeclared(fleet, e) && isOwn(e.engine().id())));
  }

  private static boolean isDeclared(FleetConfiguration fleet, OwnedEngine engine) {
    return fleet.engines().containsKey(engine.engine().id());
  }
}
