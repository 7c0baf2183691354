package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * Max-min fair shares of an engine's slots. Streams hold a slot for many seconds and online streams
 * are not cut, so a fair order of starting comes too late for whoever arrives while one
 * organisation holds all slots. An organisation above its fair level leaves free what the others
 * lately needed, but at most one slot in {@value #SLOTS_PER_KEPT}: keeping all of it leaves a fifth
 * of a busy engine idle. The need is the peak of an organisation's streams, which halves every
 * {@value #HALF_LIFE_SECONDS} seconds.
 *
 * <p>Not safe for use by several threads; the queue that holds it has the lock.
 */
final class SlotShares {
  private static final double HALF_LIFE_SECONDS = 60;
  private static final double NEGLIGIBLE_STREAMS = 0.1;
  private static final int SLOTS_PER_KEPT = 8;

  private final Map<OrganisationId, Share> shares = new HashMap<>();

  void started(OrganisationId organisation, Instant now) {
    shares.computeIfAbsent(organisation, o -> new Share(now)).running++;
    note(now);
  }

  void ended(OrganisationId organisation, Instant now) {
    shares.get(organisation).running--;
    note(now);
  }

  int running(OrganisationId organisation) {
    Share share = shares.get(organisation);
    return share == null ? 0 : share.running;
  }

  /** Tells whether the organisation may take one more of the slots. */
  boolean allows(OrganisationId organisation, int slots) {
    Share own = shares.get(organisation);
    double level = fairLevel(slots);
    if (own == null || own.running + 1 <= level) {
      return true;
    }
    int total = 0;
    double kept = 0;
    for (Share share : shares.values()) {
      total += share.running;
      double need = Math.min(share.peak, level) - share.running;
      kept += share == own ? 0 : Math.max(0, need);
    }
    return total + 1 + Math.min(kept, slots / SLOTS_PER_KEPT) <= slots;
  }

  /** Returns the level at which the needs, each cut to it, fill the slots. */
  private double fairLevel(int slots) {
    double[] needs = shares.values().stream().mapToDouble(s -> s.peak).sorted().toArray();
    double left = slots;
    for (int i = 0; i < needs.length; i++) {
      double equal = left / (needs.length - i);
      if (needs[i] >= equal) {
        return equal;
      }
      left -= needs[i];
    }
    return slots;
  }

  private void note(Instant now) {
    shares.values().forEach(share -> share.note(now));
    shares.values().removeIf(share -> share.peak < NEGLIGIBLE_STREAMS);
  }

  /** One organisation's streams and their recent peak. */
  private static final class Share {
    private int running;
    private double peak;
    private Instant since;

    private Share(Instant now) {
      since = now;
    }

    private void note(Instant now) {
      double seconds = Duration.between(since, now).toNanos() / 1e9;
      peak = Math.max(running, peak * Math.pow(0.5, seconds / HALF_LIFE_SECONDS));
      since = now;
    }
  }
}
