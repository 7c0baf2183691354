package org.waxwingcourse.policy.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

class RendezvousHashTest {
  private static final int KEYS = 30_000;

  @Test
  void ownerDoesNotDependOnOrderAndIsStableBetweenReleases() {
    List<HostId> hosts = hosts(9);
    List<HostId> reversed = new ArrayList<>(hosts);
    Collections.reverse(reversed);
    assertThat(RendezvousHash.rank(hosts, "org-1"))
        .isEqualTo(RendezvousHash.rank(reversed, "org-1"));
    assertThat(RendezvousHash.owner(hosts, "org-1"))
        .contains(RendezvousHash.rank(hosts, "org-1").get(0));
    assertThat(RendezvousHash.owner(List.of(), "org-1")).isEmpty();
  }

  @Test
  void keysAreDistributedEvenlyAndOnlyKeysOfTheRemovedHostMove() {
    List<HostId> hosts = hosts(9);
    List<HostId> fewer = hosts.subList(0, 8);
    Map<HostId, Integer> owned = new HashMap<>();
    for (int i = 0; i < KEYS; i++) {
      HostId before = RendezvousHash.owner(hosts, "key-" + i).orElseThrow();
      HostId after = RendezvousHash.owner(fewer, "key-" + i).orElseThrow();
      owned.merge(before, 1, Integer::sum);
      assertThat(after.equals(before) || before.equals(hosts.get(8))).isTrue();
    }
    assertThat(owned.values()).allMatch(n -> Math.abs(n * 9.0 / KEYS - 1) < 0.1);
  }

  @Test
  void subsetsContainEveryDataCentreBeforeASecondMemberOfAny() {
    List<Member> members =
        IntStream.range(0, 9).mapToObj(i -> member("h" + i, "dc" + (i < 6 ? 0 : i - 5))).toList();
    for (int i = 0; i < 100; i++) {
      List<Member> subset = RendezvousHash.rankAcrossDataCentres(members, "org-" + i, 4);
      assertThat(subset.stream().map(Member::dataCentre).distinct()).hasSize(4);
      assertThat(subset.get(0))
          .isEqualTo(RendezvousHash.rank(members, m -> m.id().value(), "org-" + i).get(0));
    }
    assertThat(RendezvousHash.rankAcrossDataCentres(members, "org", 20)).hasSize(9);
  }

  private static List<HostId> hosts(int count) {
    return IntStream.range(0, count).mapToObj(i -> HostId.of("host-" + i)).toList();
  }

  private static Member member(String name, String dataCentre) {
    return new Member(
        HostId.of(name),
        DataCentreId.of(dataCentre),
        URI.create("http://127.0.0.1:1"),
        new InetSocketAddress("127.0.0.1", 2),
        1,
        MemberState.ALIVE);
  }
}
