package org.waxwingcourse.policy.trust;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Authenticator;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * Authenticates callers by the keys of the configuration in force while this host has valid
 * evidence that the configuration is current. Keys are looked up by their SHA-256 hash, so the
 * duration of a lookup reveals nothing about keys other than the one presented.
 */
public final class KeyTrust implements Authenticator {
  private static final int SHARDS = 16;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Evidence evidence;
  private final InstantSource clock;
  private final List<Shard> shards = IntStream.range(0, SHARDS).mapToObj(i -> new Shard()).toList();
  private volatile Optional<Map<KeyHash, Organisation>> owners = Optional.empty();

  /** Creates an authenticator without keys. */
  public KeyTrust(Evidence evidence, InstantSource clock) {
    this.evidence = evidence;
    this.clock = clock;
  }

  /** Applies the keys of a configuration and terminates the sessions of keys that it withdraws. */
  public void onConfiguration(FleetConfiguration configuration) {
    Map<KeyHash, Organisation> next = new HashMap<>();
    for (Organisation o : configuration.organisations().values()) {
      o.keys().forEach(k -> next.put(k, o));
    }
    owners = Optional.of(next);
    terminateInvalidSessions();
  }

  /**
   * Terminates the sessions whose keys are no longer accepted. Must be called a few times per
   * second.
   */
  public void tick() {
    if (!evidence.isCurrent()) {
      terminateInvalidSessions();
    }
  }

  @Override
  public Either<Refusal, Organisation> authenticate(KeyHash key) {
    Optional<Map<KeyHash, Organisation>> currentOwners = owners;
    if (currentOwners.isEmpty() || !evidence.isCurrent()) {
      String message = "this host cannot confirm that its keys are current";
      return reject(RefusalCode.UNAVAILABLE, message);
    }
    return Optional.ofNullable(currentOwners.get().get(key))
        .<Either<Refusal, Organisation>>map(Either::right)
        .orElseGet(() -> reject(RefusalCode.INVALID_KEY, "the key does not work"));
  }

  @Override
  public Session open(KeyHash key, Runnable onWithdrawn) {
    Optional<OrganisationId> owner = authenticate(key).toJavaOptional().map(Organisation::id);
    Shard shard = shard(key);
    OpenSession session = new OpenSession(shard, key, owner, onWithdrawn);
    shard.add(session);
    if (!session.isKeyAccepted()) {
      session.terminate();
    }
    return session;
  }

  private void terminateInvalidSessions() {
    for (Shard shard : shards) {
      shard.snapshot().stream().filter(s -> !s.isKeyAccepted()).forEach(OpenSession::terminate);
    }
  }

  private Shard shard(KeyHash key) {
    return shards.get(Math.floorMod(key.hashCode(), SHARDS));
  }

  private <T> Either<Refusal, T> reject(RefusalCode code, String message) {
    return Either.left(new Refusal(code, message, clock.instant().plus(RETRY_AFTER)));
  }

  /** A subset of the open sessions, guarded by one lock. */
  private static final class Shard {
    private final Set<OpenSession> sessions = new HashSet<>();

    synchronized void add(OpenSession session) {
      sessions.add(session);
    }

    synchronized boolean remove(OpenSession session) {
      return sessions.remove(session);
    }

    synchronized List<OpenSession> snapshot() {
      return List.copyOf(sessions);
    }
  }

  /** The session of a connected caller. */
  private final class OpenSession implements Session {
    private final Shard shard;
    private final KeyHash key;
    private final Optional<OrganisationId> owner;
    private final Runnable onWithdrawn;

    OpenSession(Shard shard, KeyHash key, Optional<OrganisationId> owner, Runnable onWithdrawn) {
      this.shard = shard;
      this.key = key;
      this.owner = owner;
      this.onWithdrawn = onWithdrawn;
    }

    boolean isKeyAccepted() {
      return owner.isPresent()
          && authenticate(key).toJavaOptional().map(Organisation::id).equals(owner);
    }

    void terminate() {
      if (shard.remove(this)) {
        onWithdrawn.run();
      }
    }

    @Override
    public void close() {
      shard.remove(this);
    }
  }
}
