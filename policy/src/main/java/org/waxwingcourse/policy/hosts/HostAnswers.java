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
 * Answers which hosts a caller should use. An organisation gets the same small subset from every
 * host, by rendezvous hashing over the live hosts and spread over data centres, so that its rate
 * and its prefixes live on few hosts; a caller without a key gets a random subset.
 *
 * <p>An answer names no host that is known to leave and holds until a deadline, so a leaving host
 * knows when the last answer that names it has lapsed. Suspects are named only when no host is
 * known to be alive.
 */
public final class HostAnswers {
  private final MembershipView view;
  private final Predicate<Member> withheld;
  private final int count;
  private final Duration validity;
  private final InstantSource clock;
  private final RandomGenerator random;

  private HostAnswers(
      MembershipView view,
      Predicate<Member> withheld,
      int count,
      Duration validity,
      InstantSource clock,
      RandomGenerator random) {
    this.view = view;
    this.withheld = withheld;
    this.count = count;
    this.validity = validity;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Returns answers over a view of the hosts.
   *
   * @param view the hosts as this host knows them
   * @param withheld tells which live hosts are not to be named
   * @param count most hosts in an answer
   * @param validity how long an answer holds
   */
  public static HostAnswers of(
      MembershipView view,
      Predicate<Member> withheld,
      int count,
      Duration validity,
      InstantSource clock,
      RandomGenerator random) {
    return new HostAnswers(view, withheld, count, validity, clock, random);
  }

  /** Returns the hosts for an organisation, or for a caller that is of none. */
  public HostAnswer answer(Option<OrganisationId> organisation) {
    Deadline validUntil = Deadline.after(clock, validity);
    String key =
        organisation.map(OrganisationId::value).getOrElse(() -> Long.toString(random.nextLong()));
    return new HostAnswer(RendezvousHash.spread(candidates(), key, count), validUntil);
  }

  private List<Member> candidates() {
    List<Member> members = view.members();
    List<Member> alive = named(members, MemberState.ALIVE);
    return alive.isEmpty() ? named(members, MemberState.SUSPECT) : alive;
  }

  private List<Member> named(List<Member> members, MemberState state) {
    return members.stream().filter(m -> m.state() == state).filter(withheld.negate()).toList();
  }
}
