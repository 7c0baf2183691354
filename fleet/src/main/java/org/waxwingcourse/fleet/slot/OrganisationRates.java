package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.policy.rate.Share;
import org.waxwingcourse.policy.rate.TokenBucket;

/**
 * Holds organisations to their rates for the hosts that take their slots from this one. A
 * coordinator with a part of the fleet admits that part of each rate; since a host takes its slots
 * from one coordinator at a time, the parts of coordinators that do not know of each other add up
 * to no more than the rate. A bucket begins with what the coordinator before last told, or nearly
 * empty.
 *
 * <p>Safe for use by several threads.
 */
public final class OrganisationRates {
  /**
   * What all buckets of an organisation hold together after a start without any knowledge,
   * billionths of a token. All hosts may restart within the time in which a rate is judged, so it
   * stays well below what is allowed beyond rate and burst.
   */
  private static final long COLD_TOKENS = 8 * TokenBucket.TOKEN;

  private final Map<OrganisationId, TokenBucket> buckets = new HashMap<>();
  private final Map<OrganisationId, Long> inherited = new HashMap<>();
  private OrganisationTable organisations;
  private double part;

  /** The largest part for which tokens have been given without knowledge. */
  private double coldPart;

  /** Creates rates of no organisation. */
  public OrganisationRates(OrganisationTable organisations) {
    this.organisations = organisations;
  }

  /** Takes new rates and the part of the fleet that is served from here, in [0, 1]. */
  public synchronized void resize(OrganisationTable table, double newPart, Instant now) {
    organisations = table;
    part = newPart;
    warm(now);
    buckets.keySet().removeIf(id -> !table.byId(id).exists(OrganisationPlan::isLimited));
    table.all().stream().filter(OrganisationPlan::isLimited).forEach(o -> bucket(o.id(), now));
    buckets.forEach((id, bucket) -> bucket.resize(shareOf(id), now));
  }

  /**
   * Takes one token, if need be ahead of its time by up to {@code patience}; returns how long the
   * request must wait for it. A longer time means that none was taken.
   */
  public synchronized Duration take(OrganisationId id, Duration patience, Instant now) {
    return organisations.byId(id).exists(OrganisationPlan::isLimited)
        ? bucket(id, now).takeAhead(TokenBucket.TOKEN, patience, now)
        : Duration.ZERO;
  }

  /** Puts back the token of a request that was not run. */
  public synchronized void giveBack(OrganisationId id, Instant now) {
    TokenBucket bucket = buckets.get(id);
    if (bucket != null) {
      bucket.giveBack(TokenBucket.TOKEN, now);
    }
  }

  /** Returns what each bucket holds, billionths of a token. */
  public synchronized Map<OrganisationId, Long> levels(Instant now) {
    Map<OrganisationId, Long> levels = new HashMap<>();
    buckets.forEach((id, bucket) -> levels.put(id, bucket.amount(now)));
    return levels;
  }

  /** Starts anew from the levels that the coordinator before told. */
  public synchronized void inherit(Map<OrganisationId, Long> levels) {
    buckets.clear();
    inherited.clear();
    inherited.putAll(levels);
    coldPart = 1;
  }

  /** Gives what a larger part of the fleet adds to the tokens that are given without knowledge. */
  private void warm(Instant now) {
    if (part > coldPart) {
      long more = (long) ((part - coldPart) * COLD_TOKENS);
      coldPart = part;
      buckets.forEach(
          (id, bucket) -> {
            bucket.resize(shareOf(id), now);
            bucket.giveBack(more, now);
          });
    }
  }

  private TokenBucket bucket(OrganisationId id, Instant now) {
    return buckets.computeIfAbsent(
        id,
        i -> {
          TokenBucket bucket = new TokenBucket(now);
          bucket.resize(shareOf(i), now);
          bucket.giveBack(inherited.getOrDefault(i, (long) (coldPart * COLD_TOKENS)), now);
          return bucket;
        });
  }

  private Share shareOf(OrganisationId id) {
    OrganisationPlan plan = organisations.byId(id).get();
    double capacity = Math.max(1, plan.burst() * part) * TokenBucket.TOKEN;
    return new Share((long) capacity, plan.perSecond() * part);
  }
}
