package org.waxwingcourse.policy.hosts;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.place.RendezvousHash;

/**
 * Selects the hosts that a caller should use. Every host returns the same small subset for an
 * organisation, chosen by rendezvous hashing over the live hosts and spread over data centres, so
 * that few hosts hold its rate and its cached prefixes. A caller without a key gets a random
 * subset.
 *
 * <p>A selection never contains a host that is known to be leaving, and it is valid until a
 * deadline, so a leaving host knows when the last selection that contains it has expired. Suspected
 * hosts are selected only if there is no alive host to select.
 */
public final class HostAnswers {
  private final MembershipView view;
  private final Predicate<Member> excluded;
  private final int maxHosts;
  private final Duration validity;
  private final InstantSource clock;
  private final RandomGenerator random;

  private HostAnswers(
      MembershipView view,
      Predicate<Member> excluded,
      int maxHosts,
      Duration validity,
      InstantSource clock,
      RandomGenerator random) {
    this.view = view;
    this.excluded = excluded;
    this.maxHosts = maxHosts;
    this.validity = validity;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Returns a selector over a view of the hosts.
   *
   * @param view the membership as known to this host
   * @param excluded matches live hosts that must not be selected
   * @param maxHosts maximum number of hosts in a selection
   * @param validity how long a selection is valid
   */
  public static HostAnswers of(
      MembershipView view,
      Predicate<Member> excluded,
      int maxHosts,
      Duration validity,
      InstantSource clock,
      RandomGenerator random) {
    return new HostAnswers(view, excluded, maxHosts, validity, clock, random);
  }

  /** Returns the hosts for an organisation, or for a caller without an organisation. */
  public HostAnswer answer(Option<OrganisationId> organisation) {
    Deadline validUntil = Deadline.after(clock, validity);
    String key =
        organisation.map(OrganisationId::value).getOrElse(() -> Long.toString(random.nextLong()));
    return new HostAnswer(
        RendezvousHash.rankAcrossDataCentres(candidates(), key, maxHosts), validUntil);
  }

  private List<Member> candidates() {
    List<Member> members = view.members();
    List<Member> alive = membersIn(members, MemberState.ALIVE);
    return alive.isEmpty() ? membersIn(members, MemberState.SUSPECT) : alive;
  }

  private List<Member> membersIn(List<Member> members, MemberState state) {
    return members.stream().filter(m -> m.state() == state).filter(excluded.negate()).toList();
  }
}
