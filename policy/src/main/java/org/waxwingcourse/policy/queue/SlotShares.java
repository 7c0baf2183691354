package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * Max-min fair shares of an engine's slots. Streams occupy a slot for many seconds and online
 * streams are not preempted, so a fair order of starting does not help an organisation that arrives
 * while another one occupies all slots. An organisation above its fair level must therefore leave
 * free the slots that other organisations recently needed, but at most one slot in {@value
 * #SLOTS_PER_RESERVED}, because reserving all of them leaves a fifth of a busy engine idle. The
 * need of an organisation is the peak number of its streams, which decays with a half-life of
 * {@value #HALF_LIFE_SECONDS} seconds.
 *
 * <p>Not thread-safe; guarded by the lock of the queue that contains it.
 */
final class SlotShares {
  private static final double HALF_LIFE_SECONDS = 60;
  private static final double NEGLIGIBLE_STREAMS = 0.1;
  private static final int SLOTS_PER_RESERVED = 8;

  private final Map<OrganisationId, SlotUsage> usages = new HashMap<>();

  void onStart(OrganisationId organisation, Instant now) {
    usages.computeIfAbsent(organisation, o -> new SlotUsage(now)).running++;
    updatePeaks(now);
  }

  void onEnd(OrganisationId organisation, Instant now) {
    usages.get(organisation).running--;
    updatePeaks(now);
  }

  int running(OrganisationId organisation) {
    SlotUsage usage = usages.get(organisation);
    return usage == null ? 0 : usage.running;
  }

  /** Returns whether the organisation may occupy one more of the slots. */
  boolean allows(OrganisationId organisation, int slots) {
    SlotUsage own = usages.get(organisation);
    double fair = fairLevel(slots);
    if (own == null || own.running + 1 <= fair) {
      return true;
    }
    int total = 0;
    double reserved = 0;
    for (SlotUsage usage : usages.values()) {
      total += usage.running;
      double need = Math.min(usage.peak, fair) - usage.running;
      reserved += usage == own ? 0 : Math.max(0, need);
    }
    return total + 1 + Math.min(reserved, slots / SLOTS_PER_RESERVED) <= slots;
  }

  /**
   * Returns the level at which the needs, each limited to that level, add up to the number of
   * slots.
   */
  private double fairLevel(int slots) {
    double[] needs = usages.values().stream().mapToDouble(s -> s.peak).sorted().toArray();
    double remaining = slots;
    for (int i = 0; i < needs.length; i++) {
      double equalShare = remaining / (needs.length - i);
      if (needs[i] >= equalShare) {
        return equalShare;
      }
      remaining -= needs[i];
    }
    return slots;
  }

  private void updatePeaks(Instant now) {
    usages.values().forEach(usage -> usage.updatePeak(now));
    usages.values().removeIf(usage -> usage.peak < NEGLIGIBLE_STREAMS);
  }

  /** The number of one organisation's streams and its recent peak. */
  private static final class SlotUsage {
    private int running;
    private double peak;
    private Instant lastUpdate;

    private SlotUsage(Instant now) {
      lastUpdate = now;
    }

    private void updatePeak(Instant now) {
      double seconds = Duration.between(lastUpdate, now).toNanos() / 1e9;
      peak = Math.max(running, peak * Math.pow(0.5, seconds / HALF_LIFE_SECONDS));
      lastUpdate = now;
    }
  }
}
