package org.waxwingcourse.policy.member;

import java.time.Duration;

/**
 * Times and bounds of the membership protocol.
 *
 * @param probeInterval time between two probes that a host begins
 * @param probeTimeout how long a probe stays unanswered before others are asked to probe
 * @param suspicionBase how long a suspect may take to refute in a fleet of up to ten hosts; grows
 *     with the decimal logarithm of the fleet's size
 * @param gossipInterval time between two rounds of rumours while there are any
 * @param syncInterval time between two comparisons with a random member
 * @param rejoinInterval time between two attempts to reach a dead or merely listed host
 * @param aloneInterval the same while no other host is known to live
 * @param forgetAfter how long a dead host is remembered; longer than the platform's list may lag
 * @param pauseLimit a gap between two ticks from which on the process counts as paused
 * @param indirectProbes how many others are asked to probe
 * @param gossipFanout how many hosts a round of rumours goes to
 * @param maxRumours most rumours in a message
 */
public record MembershipSettings(
    Duration probeInterval,
    Duration probeTimeout,
    Duration suspicionBase,
    Duration gossipInterval,
    Duration syncInterval,
    Duration rejoinInterval,
    Duration aloneInterval,
    Duration forgetAfter,
    Duration pauseLimit,
    int indirectProbes,
    int gossipFanout,
    int maxRumours) {
  /** Detects a lost host in about five seconds in a fleet of ten. */
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

  /** Returns how long a suspect may take to refute in a fleet of the given size. */
  public Duration suspicionTimeout(int hosts) {
    double factor = Math.max(1, Math.log10(Math.max(1, hosts)));
    return Duration.ofMillis(Math.round(suspicionBase.toMillis() * factor));
  }

  /** Returns how often a rumour is passed on by each host in a fleet of the given size. */
  int transmissions(int hosts) {
    return 2 * (Integer.SIZE - Integer.numberOfLeadingZeros(hosts + 1));
  }
}
