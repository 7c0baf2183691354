package org.waxwingcourse.policy.rate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Admission;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.trust.Evidence;
import org.waxwingcourse.policy.trust.Holder;
import org.waxwingcourse.policy.trust.Roster;

/**
 * Enforces the rates of organisations by escrow (O'Neil, 1986): each rate is divided among a few
 * holders, each with its own token bucket, and tokens move between hosts only by loans that debit
 * the lender first.
 *
 * <p>The stored roster determines which hosts hold shares. A host uses its roster and configuration
 * only while its evidence that they are current is valid, and a host that gains a share waits until
 * no host can still use an older roster or configuration. At any time the shares in use therefore
 * add up to no more than the rate, even if hosts are partitioned, paused or restarted.
 */
public final class RateAdmission implements Admission {
  private static final int SHARDS = 16;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /**
   * A roster that has been in force for this long was known to every host before a newer version
   * arrived.
   */
  private static final Duration KNOWN_TO_ALL_AFTER = Evidence.SETTLE_TIME.multipliedBy(2);

  private final Holder self;
  private final InstantSource clock;
  private final Evidence evidence;
  private final RandomGenerator random;
  private final RatePort port;
  private final int holderCount;
  private final List<Shard> shards = IntStream.range(0, SHARDS).mapToObj(i -> new Shard()).toList();
  private final Map<OrganisationId, Rate> rates = new HashMap<>();
  private Roster roster = Roster.EMPTY;
  private Instant rosterReceivedAt = Instant.MIN;

  /**
   * Creates the admission of one host.
   *
   * @param self this process
   * @param evidence determines whether this host may act on its versions
   * @param random generates message identifiers and selects holders; must be thread-safe
   * @param port sends messages to other hosts
   */
  public RateAdmission(
      Holder self, InstantSource clock, Evidence evidence, RandomGenerator random, RatePort port) {
    this(self, clock, evidence, random, port, HolderPlacement.DEFAULT_HOLDER_COUNT);
  }

  /**
   * Creates the admission of one host with a given number of holders per organisation, which must
   * be the same on every host of the fleet.
   */
  public RateAdmission(
      Holder self,
      InstantSource clock,
      Evidence evidence,
      RandomGenerator random,
      RatePort port,
      int holderCount) {
    this.holderCount = holderCount;
    this.self = self;
    this.clock = clock;
    this.evidence = evidence;
    this.random = random;
    this.port = port;
  }

  /** A subset of the organisations, guarded by one lock. */
  private static final class Shard {
    private final Map<OrganisationId, OrganisationTokens> byOrganisation = new HashMap<>();
    private final Set<OrganisationId> needingTick = new HashSet<>();
  }

  @Override
  public CompletionStage<Option<Refusal>> admit(
      OrganisationId organisation, WorkClass work, Deadline deadline) {
    CompletableFuture<Option<Refusal>> answer = new CompletableFuture<>();
    boolean known =
        withTokens(
            organisation,
            (tokens, now) -> {
              if (evidence.isCurrent()) {
                tokens.admit(work, answer, deadline, now);
              } else {
                tokens.reject(answer, unavailable());
              }
            });
    if (!known) {
      String message = "organisation \"" + organisation + "\" is not declared";
      Instant retryAt = clock.instant().plus(RETRY_AFTER);
      answer.complete(Option.of(new Refusal(RefusalCode.RATE_LIMITED, message, retryAt)));
    }
    return answer;
  }

  /** Handles a message from another host. */
  public void onMessage(HostId from, RateMessage message) {
    withTokens(
        message.organisation(),
        (tokens, now) -> {
          if (message instanceof RateMessage.Ask ask) {
            grantLoan(tokens, from, ask, now);
          } else if (message instanceof RateMessage.Grant grant) {
            tokens.onGrant(from, grant, now);
          } else if (message instanceof RateMessage.Return returned) {
            tokens.onReturn(returned, now);
          }
        });
  }

  /**
   * Performs the actions that are due for organisations that borrow tokens. Must be called several
   * times per second.
   */
  public void tick() {
    for (Shard shard : shards) {
      List<OrganisationId> names;
      synchronized (shard) {
        names = List.copyOf(shard.needingTick);
      }
      names.forEach(name -> withTokens(name, this::tick));
    }
  }

  /** Applies the rates of a configuration. */
  public synchronized void onConfiguration(FleetConfiguration configuration) {
    Instant now = clock.instant();
    for (Organisation o : configuration.organisations().values()) {
      boolean isNew = rates.put(o.id(), o.rate()) == null;
      if (isNew) {
        addOrganisation(o.id(), o.rate(), now);
      } else {
        withTokens(
            o.id(), (tokens, at) -> tokens.lender().changeShare(share(o.id(), o.rate()), at));
      }
    }
    for (OrganisationId id : List.copyOf(rates.keySet())) {
      if (!configuration.organisations().containsKey(id)) {
        withTokens(id, (tokens, at) -> tokens.lender().changeShare(Share.NONE, at));
      }
    }
  }

  /** Applies a roster. */
  public synchronized void onRoster(Roster next) {
    Instant now = clock.instant();
    boolean isFirst = next.previous().value() == 0;
    boolean continuous = next.isContinuousFrom(roster);
    roster = next;
    rosterReceivedAt = now;
    rates.forEach((id, rate) -> applyRoster(id, share(id, rate), isFirst, continuous));
  }

  private void applyRoster(OrganisationId id, Share share, boolean isFirst, boolean continuous) {
    withTokens(
        id,
        (tokens, now) -> {
          if (isFirst) {
            tokens.lender().takeOver(share, true, now);
          } else if (continuous) {
            tokens.lender().changeShare(share, now);
          } else {
            tokens.lender().takeOverAt(share, now.plus(Evidence.SETTLE_TIME), now);
          }
          tokens.setHolders(otherHolders(id));
        });
  }

  private void addOrganisation(OrganisationId id, Rate rate, Instant now) {
    Shard shard = shard(id);
    OrganisationTokens created = new OrganisationTokens(id, random, port, now);
    created.setHolders(otherHolders(id));
    Instant settled =
        rosterReceivedAt.equals(Instant.MIN) ? now : rosterReceivedAt.plus(Evidence.SETTLE_TIME);
    boolean startsFull = evidence.isCurrent() && now.isAfter(settled.plus(KNOWN_TO_ALL_AFTER));
    boolean isSoleHolder = roster.previous().value() == 0 && roster.holders().size() == 1;
    if (now.isBefore(settled) && !isSoleHolder) {
      created.lender().takeOverAt(share(id, rate), settled, now);
    } else {
      created
          .lender()
          .takeOver(share(id, rate), startsFull || isSoleHolder && evidence.isCurrent(), now);
    }
    synchronized (shard) {
      shard.byOrganisation.put(id, created);
    }
  }

  private void grantLoan(OrganisationTokens tokens, HostId from, RateMessage.Ask ask, Instant now) {
    Duration evidenceValidity = evidence.deadline().remaining(now);
    Duration validity =
        evidenceValidity.compareTo(Lender.LOAN_VALIDITY) < 0
            ? evidenceValidity
            : Lender.LOAN_VALIDITY;
    long wanted = validity.isZero() ? 0 : ask.wanted();
    RateMessage.Ask bounded =
        new RateMessage.Ask(ask.id(), ask.organisation(), wanted, ask.spare());
    tokens.onAsk(from, bounded, random.nextLong(), validity, now);
  }

  private void tick(OrganisationTokens tokens, Instant now) {
    if (evidence.isCurrent()) {
      tokens.tick(now);
    } else {
      tokens.rejectAll(unavailable());
    }
  }

  private Share share(OrganisationId id, Rate rate) {
    List<HostId> holderIds = HolderPlacement.holders(roster, id, holderCount);
    int rank = roster.lists(self.host(), self.incarnation()) ? holderIds.indexOf(self.host()) : -1;
    return Share.of(rate, rank, holderIds.size());
  }

  private List<HostId> otherHolders(OrganisationId id) {
    return HolderPlacement.holders(roster, id, holderCount).stream()
        .filter(h -> !h.equals(self.host()))
        .toList();
  }

  private boolean withTokens(OrganisationId id, BiConsumer<OrganisationTokens, Instant> action) {
    Shard shard = shard(id);
    List<Runnable> deferredActions;
    synchronized (shard) {
      OrganisationTokens tokens = shard.byOrganisation.get(id);
      if (tokens == null) {
        return false;
      }
      action.accept(tokens, clock.instant());
      deferredActions = tokens.takeDeferredActions();
      if (tokens.needsTick()) {
        shard.needingTick.add(id);
      } else {
        shard.needingTick.remove(id);
      }
    }
    deferredActions.forEach(Runnable::run);
    return true;
  }

  private Shard shard(OrganisationId id) {
    return shards.get(Math.floorMod(id.hashCode(), SHARDS));
  }

  private Refusal unavailable() {
    String message = "this host cannot confirm that its share of the rate is current";
    return new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(RETRY_AFTER));
  }
}
