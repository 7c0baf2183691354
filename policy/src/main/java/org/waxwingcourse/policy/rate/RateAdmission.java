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
 * Holds organisations to their rates by escrow (O'Neil, 1986): each rate is divided among a few
 * holders, each with a token bucket of its own, and tokens move between hosts only by loans that
 * debit the lender first.
 *
 * <p>Which hosts hold shares follows from the stored roster. A host acts on its roster and
 * configuration only while its evidence that they are current holds, and a host that gains a share
 * waits until every right that rests on an older roster or configuration has lapsed. So at every
 * moment the shares in use add up to no more than the rate, whoever is cut off, paused or
 * restarted.
 */
public final class RateAdmission implements Admission {
  private static final int SHARDS = 16;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** A roster that has stood for this long was held by everyone when a new version came. */
  private static final Duration LONG_SETTLED = Evidence.SETTLED.multipliedBy(2);

  private final Holder self;
  private final InstantSource clock;
  private final Evidence evidence;
  private final RandomGenerator random;
  private final RatePort port;
  private final int holders;
  private final List<Shard> shards = IntStream.range(0, SHARDS).mapToObj(i -> new Shard()).toList();
  private final Map<OrganisationId, Rate> rates = new HashMap<>();
  private Roster roster = Roster.EMPTY;
  private Instant rosterLearnt = Instant.MIN;

  /**
   * Creates the admission of one host.
   *
   * @param self this process
   * @param evidence whether the host may act on its versions
   * @param random names messages and picks holders; safe for use by several threads
   * @param port sends messages
   */
  public RateAdmission(
      Holder self, InstantSource clock, Evidence evidence, RandomGenerator random, RatePort port) {
    this(self, clock, evidence, random, port, Placement.HOLDERS);
  }

  /**
   * Creates the admission of one host with another number of holders for an organisation; the same
   * on every host of the fleet.
   */
  public RateAdmission(
      Holder self,
      InstantSource clock,
      Evidence evidence,
      RandomGenerator random,
      RatePort port,
      int holders) {
    this.holders = holders;
    this.self = self;
    this.clock = clock;
    this.evidence = evidence;
    this.random = random;
    this.port = port;
  }

  /** Some of the organisations, under one lock. */
  private static final class Shard {
    private final Map<OrganisationId, OrganisationRate> rates = new HashMap<>();
    private final Set<OrganisationId> active = new HashSet<>();
  }

  @Override
  public CompletionStage<Option<Refusal>> admit(
      OrganisationId organisation, WorkClass work, Deadline deadline) {
    CompletableFuture<Option<Refusal>> answer = new CompletableFuture<>();
    boolean known =
        change(
            organisation,
            (rate, now) -> {
              if (evidence.isCurrent()) {
                rate.admit(work, answer, deadline, now);
              } else {
                rate.refuse(answer, unavailable());
              }
            });
    if (!known) {
      String message = "organisation \"" + organisation + "\" is not declared";
      Instant retryAt = clock.instant().plus(RETRY_AFTER);
      answer.complete(Option.of(new Refusal(RefusalCode.RATE_LIMITED, message, retryAt)));
    }
    return answer;
  }

  /** A message from another host. */
  public void onMessage(HostId from, RateMessage message) {
    change(
        message.organisation(),
        (rate, now) -> {
          if (message instanceof RateMessage.Ask ask) {
            lend(rate, from, ask, now);
          } else if (message instanceof RateMessage.Grant grant) {
            rate.onGrant(from, grant, now);
          } else if (message instanceof RateMessage.Return returned) {
            rate.onReturn(returned, now);
          }
        });
  }

  /** Does what is due for organisations that borrow; called several times a second. */
  public void tick() {
    for (Shard shard : shards) {
      List<OrganisationId> names;
      synchronized (shard) {
        names = List.copyOf(shard.active);
      }
      names.forEach(name -> change(name, this::tick));
    }
  }

  /** Puts a configuration's rates in force. */
  public synchronized void onConfiguration(FleetConfiguration configuration) {
    Instant now = clock.instant();
    for (Organisation o : configuration.organisations().values()) {
      boolean isNew = rates.put(o.id(), o.rate()) == null;
      if (isNew) {
        begin(o.id(), o.rate(), now);
      } else {
        change(o.id(), (rate, at) -> rate.lender().change(share(o.id(), o.rate()), at));
      }
    }
    for (OrganisationId id : List.copyOf(rates.keySet())) {
      if (!configuration.organisations().containsKey(id)) {
        change(id, (rate, at) -> rate.lender().change(Share.NONE, at));
      }
    }
  }

  /** Puts a roster in force. */
  public synchronized void onRoster(Roster next) {
    Instant now = clock.instant();
    boolean first = next.previous().value() == 0;
    boolean unbroken = next.continues(roster);
    roster = next;
    rosterLearnt = now;
    rates.forEach((id, rate) -> move(id, share(id, rate), first, unbroken));
  }

  private void move(OrganisationId id, Share share, boolean first, boolean unbroken) {
    change(
        id,
        (rate, now) -> {
          if (first) {
            rate.lender().begin(share, true, now);
          } else if (unbroken) {
            rate.lender().change(share, now);
          } else {
            rate.lender().beginLater(share, now.plus(Evidence.SETTLED), now);
          }
          rate.lendersAre(lenders(id));
        });
  }

  private void begin(OrganisationId id, Rate rate, Instant now) {
    Shard shard = shard(id);
    OrganisationRate created = new OrganisationRate(id, random, port, now);
    created.lendersAre(lenders(id));
    Instant settled = rosterLearnt.equals(Instant.MIN) ? now : rosterLearnt.plus(Evidence.SETTLED);
    boolean full = evidence.isCurrent() && now.isAfter(settled.plus(LONG_SETTLED));
    boolean alone = roster.previous().value() == 0 && roster.holders().size() == 1;
    if (now.isBefore(settled) && !alone) {
      created.lender().beginLater(share(id, rate), settled, now);
    } else {
      created.lender().begin(share(id, rate), full || alone && evidence.isCurrent(), now);
    }
    synchronized (shard) {
      shard.rates.put(id, created);
    }
  }

  private void lend(OrganisationRate rate, HostId from, RateMessage.Ask ask, Instant now) {
    Duration right = evidence.deadline().remaining(now);
    Duration valid = right.compareTo(Lender.VALID) < 0 ? right : Lender.VALID;
    long wanted = valid.isZero() ? 0 : ask.wanted();
    RateMessage.Ask bounded =
        new RateMessage.Ask(ask.id(), ask.organisation(), wanted, ask.spare());
    rate.onAsk(from, bounded, random.nextLong(), valid, now);
  }

  private void tick(OrganisationRate rate, Instant now) {
    if (evidence.isCurrent()) {
      rate.tick(now);
    } else {
      rate.refuseAll(unavailable());
    }
  }

  private Share share(OrganisationId id, Rate rate) {
    List<HostId> chosen = Placement.holders(roster, id, holders);
    int rank = roster.lists(self.host(), self.incarnation()) ? chosen.indexOf(self.host()) : -1;
    return Share.of(rate, rank, chosen.size());
  }

  private List<HostId> lenders(OrganisationId id) {
    return Placement.holders(roster, id, holders).stream()
        .filter(h -> !h.equals(self.host()))
        .toList();
  }

  private boolean change(OrganisationId id, BiConsumer<OrganisationRate, Instant> action) {
    Shard shard = shard(id);
    List<Runnable> effects;
    synchronized (shard) {
      OrganisationRate rate = shard.rates.get(id);
      if (rate == null) {
        return false;
      }
      action.accept(rate, clock.instant());
      effects = rate.takeEffects();
      if (rate.isBorrowing()) {
        shard.active.add(id);
      } else {
        shard.active.remove(id);
      }
    }
    effects.forEach(Runnable::run);
    return true;
  }

  private Shard shard(OrganisationId id) {
    return shards.get(Math.floorMod(id.hashCode(), SHARDS));
  }

  private Refusal unavailable() {
    String message = "this host cannot tell whether its share of the rate is current";
    return new Refusal(RefusalCode.UNAVAILABLE, message, clock.instant().plus(RETRY_AFTER));
  }
}
