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
 * The engines that this host owns or still has requests for. The owner of an engine is determined
 * by rendezvous hashing over the hosts that accept work. While hosts have different views of the
 * membership, an engine can have two owners, which at worst start more requests than it has slots.
 */
final class EngineTable {
  private static final String HASH_KEY_PREFIX = "engine/";

  private final MembershipView members;
  private final EngineClient client;
  private final InstantSource clock;
  private final Executor actionExecutor;
  private final ConcurrentMap<UpstreamId, OwnedEngine> engines = new ConcurrentHashMap<>();

  EngineTable(
      MembershipView members, EngineClient client, InstantSource clock, Executor actionExecutor) {
    this.members = members;
    this.client = client;
    this.clock = clock;
    this.actionExecutor = actionExecutor;
  }

  /** Returns the host that owns the engine, or this host if no host accepts work. */
  HostId ownerOf(UpstreamId engine) {
    List<HostId> hosts = new ArrayList<>();
    for (Member member : members.members()) {
      if (member.takesWork()) {
        hosts.add(member.id());
      }
    }
    return RendezvousHash.owner(hosts, HASH_KEY_PREFIX + engine)
        .orElseGet(() -> members.self().id());
  }

  boolean isOwn(UpstreamId engine) {
    return ownerOf(engine).equals(members.self().id());
  }

  /** Returns the engine with its queue on this host, created at the first use. */
  OwnedEngine getOrCreate(Engine engine) {
    return engines.computeIfAbsent(
        engine.id(), id -> new OwnedEngine(engine, client, clock, actionExecutor));
  }

  Optional<OwnedEngine> find(UpstreamId engine) {
    return Optional.ofNullable(engines.get(engine));
  }

  Collection<OwnedEngine> all() {
    return engines.values();
  }

  /**
   * Applies the declared engines: creates or updates the ones that this host owns, and removes idle
   * ones that are no longer declared or owned.
   */
  void applyDeclarations(FleetConfiguration fleet) {
    for (Engine engine : fleet.engines().values()) {
      if (isOwn(engine.id())) {
        getOrCreate(engine).updateDeclaration(engine);
      }
    }
    engines.values().removeIf(e -> e.isIdle() && !(isDeclared(fleet, e) && isOwn(e.engine().id())));
  }

  private static boolean isDeclared(FleetConfiguration fleet, OwnedEngine engine) {
    return fleet.engines().containsKey(engine.engine().id());
  }
}
