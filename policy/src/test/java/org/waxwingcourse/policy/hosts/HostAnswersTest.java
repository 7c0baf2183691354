package org.waxwingcourse.policy.hosts;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.time.ManualClock;

class HostAnswersTest {
  private static final Option<OrganisationId> ORGANISATION = Option.some(OrganisationId.of("o"));

  private final ManualClock clock = ManualClock.at(Instant.EPOCH);
  private final List<Member> members = new ArrayList<>();
  private final Set<HostId> excluded = new HashSet<>();

  @Test
  void returnsTheSameHostsInDifferentDataCentresForAnOrganisation() {
    addMembers(9, MemberState.ALIVE);
    HostAnswer answer = answer(ORGANISATION);
    assertThat(answer.hosts()).hasSize(3).extracting(Member::dataCentre).doesNotHaveDuplicates();
    assertThat(answer(ORGANISATION)).isEqualTo(answer);
    assertThat(answer.validUntil().at()).isEqualTo(Instant.EPOCH.plusSeconds(10));
  }

  @Test
  void distributesCallersWithoutKeyOverAllHosts() {
    addMembers(9, MemberState.ALIVE);
    Set<HostId> selected = new HashSet<>();
    HostAnswers answers = answers();
    for (int i = 0; i < 100; i++) {
      answers.answer(Option.none()).hosts().forEach(m -> selected.add(m.id()));
    }
    assertThat(selected).hasSize(9);
  }

  @Test
  void selectsSuspectedHostsOnlyWithoutAliveHostsAndNeverLeavingHosts() {
    addMembers(4, MemberState.LEAVING);
    members.set(0, members.get(0).in(MemberState.SUSPECT));
    assertThat(answer(ORGANISATION).hosts()).containsExactly(members.get(0));
    members.set(1, members.get(1).in(MemberState.ALIVE));
    assertThat(answer(ORGANISATION).hosts()).containsExactly(members.get(1));
    excluded.add(members.get(1).id());
    assertThat(answer(ORGANISATION).hosts()).containsExactly(members.get(0));
  }

  @Test
  void leavingMarkAppliesOnlyToTheIncarnationKnownWhenItWasRead() {
    addMembers(1, MemberState.ALIVE);
    ListedLeaving leaving = ListedLeaving.of(h -> Optional.of(members.get(0)));
    leaving.update(List.of(members.get(0).id()));
    Member before = members.get(0);
    assertThat(leaving.test(before)).isTrue();
    Member restarted =
        new Member(
            before.id(),
            before.dataCentre(),
            before.callerAddress(),
            before.peerAddress(),
            2,
            before.state());
    members.set(0, restarted);
    leaving.update(List.of(restarted.id()));
    assertThat(leaving.test(restarted)).isFalse();
  }

  private HostAnswer answer(Option<OrganisationId> organisation) {
    return answers().answer(organisation);
  }

  private HostAnswers answers() {
    return HostAnswers.of(
        new FixedView(),
        m -> excluded.contains(m.id()),
        3,
        Duration.ofSeconds(10),
        clock,
        new Random(1));
  }

  private void addMembers(int count, MemberState state) {
    for (int i = 0; i < count; i++) {
      members.add(
          new Member(
              HostId.of("h" + i),
              DataCentreId.of("dc" + i % 3),
              URI.create("http://127.0.0.1:" + (8000 + i)),
              new InetSocketAddress("127.0.0.1", 7000),
              1,
              state));
    }
  }

  private final class FixedView implements MembershipView {
    @Override
    public Member self() {
      return members.get(0);
    }

    @Override
    public List<Member> members() {
      return List.copyOf(members);
    }

    @Override
    public Optional<Member> find(HostId host) {
      return members.stream().filter(m -> m.id().equals(host)).findFirst();
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}
  }
}
