package org.waxwingcourse.policy.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;

class MemberTableTest {
  private static final HostId OTHER = HostId.of("other");
  private static final MemberLocation LOCATION =
      new MemberLocation(
          DataCentreId.of("dc"),
          URI.create("http://127.0.0.1:1"),
          new InetSocketAddress("127.0.0.1", 2));

  /**
   * Applies updates in any order, including duplicate and delayed ones: incarnation and state never
   * decrease.
   */
  @Property(seed = "4201", tries = 500)
  void incarnationAndStateNeverDecrease(
      @ForAll @Size(max = 40) List<@IntRange(max = 31) Integer> updates) {
    MemberTable table = new MemberTable(member("self"), MembershipSettings.DEFAULT);
    long incarnation = -1;
    MemberState state = MemberState.ALIVE;
    for (int code : updates) {
      MemberState reported = MemberState.values()[code % 4];
      Option<MemberLocation> location = code / 16 == 0 ? Option.some(LOCATION) : Option.none();
      table.apply(new MemberUpdate(OTHER, code / 4 % 4, reported, location), Instant.EPOCH);
      Member now = table.find(OTHER).orElse(member("other"));
      assertThat(now.incarnation()).isGreaterThanOrEqualTo(incarnation);
      if (now.incarnation() == incarnation) {
        assertThat(now.state()).isGreaterThanOrEqualTo(state);
      }
      incarnation = now.incarnation();
      state = now.state();
    }
  }

  private static Member member(String host) {
    return new MemberUpdate(HostId.of(host), -1, MemberState.ALIVE, Option.none()).member(LOCATION);
  }
}
