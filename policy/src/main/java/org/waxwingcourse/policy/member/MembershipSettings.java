package org.waxwingcourse.policy.member;

import java.time.Duration;

/**
 * Intervals and limits of the membership protocol.
 *
 * @param probeInterval time between two probes that a host starts
 * @param probeTimeout time without an acknowledgement after which other members are requested to
 *     probe
 * @param suspicionBase time that a suspected host has to refute the suspicion in a fleet of up to
 *     ten hosts; it grows with the decimal logarithm of the fleet's size
 * @param gossipInterval time between two rounds of rumours while there are rumours to send
 * @param syncInterval time between two comparisons of digests with a random member
 * @param rejoinInterval time between two attempts to contact a host that is dead or known only from
 *     the platform's list
 * @param isolatedRejoinInterval replaces {@code rejoinInterval} while no other host is known to be
 *     alive
 * @param deadRetention how long a dead host is kept in the table; must exceed the lag of the
 *     platform's list
 * @param pauseThreshold time between two ticks above which the process is considered to have been
 *     paused
 * @param indirectProbes number of members that are requested to probe indirectly
 * @param gossipFanout number of hosts to which a round of rumours is sent
 * @param maxRumours maximum number of rumours in a message
 */
public record MembershipSettings(
    Duration probeInterval,
    Duration probeTimeout,
    Duration suspicionBase,
    Duration gossipInterval,
    Duration syncInterval,
    Duration rejoinInterval,
    Duration isolatedRejoinInterval,
    Duration deadRetention,
    Duration pauseThreshold,
    int indirectProbes,
    int gossipFanout,
    int maxRumours) {
  /** Detects a failed host in about five seconds in a fleet of ten hosts. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Duration.ofSeconds(1),
          Duration.ofMillis(300),
          Duration.ofSeconds(3),
          Duration.ofMillis(250),
          Duration.ofSeconds(10),
          Duration.ofSeconds(10),
          Duration.ofSeconds(1),
          Duration.ofHours(1),
          Duration.ofSeconds(1),
          3,
          2,
          24);

  /**
   * Returns the time that a suspected host has to refute the suspicion in a fleet of the given
   * size.
   */
  public Duration suspicionTimeout(int hosts) {
    double factor = Math.max(1, Math.log10(Math.max(1, hosts)));
    return Duration.ofMillis(Math.round(suspicionBase.toMillis() * factor));
  }

  /** Returns the number of times that each host sends a rumour in a fleet of the given size. */
  int maxTransmissions(int hosts) {
    return 2 * (Integer.SIZE - Integer.numberOfLeadingZeros(hosts + 1));
  }
}
