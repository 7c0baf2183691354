package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.policy.rate.RateShare;
import org.waxwingcourse.policy.rate.TokenBucket;

/**
 * Limits the request rate of organisations for the hosts that are attached to this coordinator. A
 * coordinator that serves a share of the fleet admits that share of each rate; since a host is
 * attached to one coordinator at a time, the shares of coordinators that do not know of each other
 * add up to no more than the rate. A bucket starts with the level that the previous coordinator
 * reported, or nearly empty.
 *
 * <p>Safe for use by several threads.
 */
public final class OrganisationRateLimiter {
  /**
   * Total of the tokens that all buckets of an organisation hold after a start without known
   * levels, in billionths of a token. All hosts may restart within the window over which a rate is
   * judged, so the total stays well below the tolerance beyond rate and burst.
   */
  private static final long INITIAL_TOKENS = 8 * TokenBucket.TOKEN;

  /**
   * Hosts that start together attach within this time of one another; while the share of the fleet
   * grows, a wait worked out from the present share is far too long.
   */
  private static final Duration SHARE_GROWTH_INTERVAL = Duration.ofMillis(1000);

  private final Map<OrganisationId, TokenBucket> buckets = new HashMap<>();
  private final Map<OrganisationId, Long> restoredLevels = new HashMap<>();
  private OrganisationTable organisations;
  private double fleetShare;
  private Instant shareGrewAt = Instant.EPOCH;

  /** The largest fleet share for which initial tokens have been added. */
  private double initialTokensShare;

  /** Creates a rate limiter for the given organisations that serves no share of the fleet yet. */
  public OrganisationRateLimiter(OrganisationTable organisations) {
    this.organisations = organisations;
  }

  /** Sets the rates and the share of the fleet that is attached here, in [0, 1]. */
  public synchronized void update(OrganisationTable table, double newFleetShare, Instant now) {
    organisations = table;
    shareGrewAt = newFleetShare > fleetShare ? now : shareGrewAt;
    fleetShare = newFleetShare;
    addInitialTokens(now);
    buckets.keySet().removeIf(id -> !table.byId(id).exists(OrganisationPlan::isLimited));
    table.all().stream().filter(OrganisationPlan::isLimited).forEach(o -> bucketOf(o.id(), now));
    buckets.forEach((id, bucket) -> bucket.resize(limitOf(id), now));
  }

  /**
   * Takes one token, if necessary up to {@code patience} before it is available. Returns how long
   * the request must wait for the token; if the result is longer than {@code patience}, no token
   * was taken.
   */
  public synchronized Duration acquireToken(OrganisationId id, Duration patience, Instant now) {
    return organisations.byId(id).exists(OrganisationPlan::isLimited)
        ? bucketOf(id, now).reserve(TokenBucket.TOKEN, patience, now)
        : Duration.ZERO;
  }

  /**
   * Returns when the caller of a request that would have to wait too long for its token may return.
   * While hosts attach that is when the share of the fleet, and the rate with it, has grown, not
   * when the present share would do.
   */
  public synchronized Instant returnTime(Duration wait, Instant now) {
    boolean isGrowing = fleetShare < 1 && now.isBefore(shareGrewAt.plus(SHARE_GROWTH_INTERVAL));
    if (!isGrowing) {
      return now.plus(wait);
    }
    Duration atWholeRate = Duration.ofNanos((long) (wait.toNanos() * fleetShare));
    return now.plus(max(atWholeRate, min(wait, SHARE_GROWTH_INTERVAL)));
  }

  private static Duration max(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  private static Duration min(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  /** Returns the token of a request that was not run. */
  public synchronized void returnToken(OrganisationId id, Instant now) {
    TokenBucket bucket = buckets.get(id);
    if (bucket != null) {
      bucket.giveBack(TokenBucket.TOKEN, now);
    }
  }

  /** Returns the level of each bucket in billionths of a token. */
  public synchronized Map<OrganisationId, Long> levels(Instant now) {
    Map<OrganisationId, Long> levels = new HashMap<>();
    buckets.forEach((id, bucket) -> levels.put(id, bucket.amount(now)));
    return levels;
  }

  /** Replaces all buckets by buckets with the levels that the previous coordinator reported. */
  public synchronized void restoreLevels(Map<OrganisationId, Long> levels) {
    buckets.clear();
    restoredLevels.clear();
    restoredLevels.putAll(levels);
    initialTokensShare = 1;
  }

  /** Adds the initial tokens of a fleet share that has grown to all buckets. */
  private void addInitialTokens(Instant now) {
    if (fleetShare > initialTokensShare) {
      long addedTokens = (long) ((fleetShare - initialTokensShare) * INITIAL_TOKENS);
      initialTokensShare = fleetShare;
      buckets.forEach(
          (id, bucket) -> {
            bucket.resize(limitOf(id), now);
            bucket.giveBack(addedTokens, now);
          });
    }
  }

  private TokenBucket bucketOf(OrganisationId id, Instant now) {
    return buckets.computeIfAbsent(
        id,
        i -> {
          TokenBucket bucket = new TokenBucket(now);
          bucket.resize(limitOf(i), now);
          bucket.giveBack(
              restoredLevels.getOrDefault(i, (long) (initialTokensShare * INITIAL_TOKENS)), now);
          return bucket;
        });
  }

  private RateShare limitOf(OrganisationId id) {
    OrganisationPlan plan = organisations.byId(id).get();
    double capacity = Math.max(1, plan.burst() * fleetShare) * TokenBucket.TOKEN;
    return new RateShare((long) capacity, plan.requestsPerSecond() * fleetShare);
  }
}
