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
 * Authenticates callers from the configuration in force, as long as the host's evidence that it is
 * current has not lapsed. Keys are found by their SHA-256, so the time of a lookup tells nothing
 * about a key that differs from the one shown.
 */
public final class KeyTrust implements Authenticator {
  private static final int SHARDS = 16;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Evidence evidence;
  private final InstantSource clock;
  private final List<Shard> shards = IntStream.range(0, SHARDS).mapToObj(i -> new Shard()).toList();
  private volatile Optional<Map<KeyHash, Organisation>> owners = Optional.empty();

  /** Creates an authenticator that knows no keys. */
  public KeyTrust(Evidence evidence, InstantSource clock) {
    this.evidence = evidence;
    this.clock = clock;
  }

  /** Puts a configuration's keys in force and ends the sessions of keys that it withdraws. */
  public void onConfiguration(FleetConfiguration configuration) {
    Map<KeyHash, Organisation> next = new HashMap<>();
    for (Organisation o : configuration.organisations().values()) {
      o.keys().forEach(k -> next.put(k, o));
    }
    owners = Optional.of(next);
    endSessions();
  }

  /** Ends sessions whose keys have stopped working; called a few times a second. */
  public void tick() {
    if (!evidence.isCurrent()) {
      endSessions();
    }
  }

  @Override
  public Either<Refusal, Organisation> authenticate(KeyHash key) {
    Optional<Map<KeyHash, Organisation>> known = owners;
    if (known.isEmpty() || !evidence.isCurrent()) {
      String message = "this host cannot tell whether its keys are current";
      return refuse(RefusalCode.UNAVAILABLE, message);
    }
    return Optional.ofNullable(known.get().get(key))
        .<Either<Refusal, Organisation>>map(Either::right)
        .orElseGet(() -> refuse(RefusalCode.INVALID_KEY, "the key does not work"));
  }

  @Override
  public Session open(KeyHash key, Runnable onWithdrawn) {
    Optional<OrganisationId> owner = authenticate(key).toJavaOptional().map(Organisation::id);
    Shard shard = shard(key);
    OpenSession session = new OpenSession(shard, key, owner, onWithdrawn);
    shard.add(session);
    if (!session.stillWorks()) {
      session.end();
    }
    return session;
  }

  private void endSessions() {
    for (Shard shard : shards) {
      shard.copy().stream().filter(s -> !s.stillWorks()).forEach(OpenSession::end);
    }
  }

  private Shard shard(KeyHash key) {
    return shards.get(Math.floorMod(key.hashCode(), SHARDS));
  }

  private <T> Either<Refusal, T> refuse(RefusalCode code, String message) {
    return Either.left(new Refusal(code, message, clock.instant().plus(RETRY_AFTER)));
  }

  /** Some of the open sessions. */
  private static final class Shard {
    private final Set<OpenSession> sessions = new HashSet<>();

    synchronized void add(OpenSession session) {
      sessions.add(session);
    }

    synchronized boolean remove(OpenSession session) {
      return sessions.remove(session);
    }

    synchronized List<OpenSession> copy() {
      return List.copyOf(sessions);
    }
  }

  /** A connected caller. */
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

    boolean stillWorks() {
      return owner.isPresent()
          && authenticate(key).toJavaOptional().map(Organisation::id).equals(owner);
    }

    void end() {
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
