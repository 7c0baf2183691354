package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.id.HostId;

class CoordinatorChoiceTest {
  private static final HostId A = HostId.of("a");
  private static final HostId B = HostId.of("b");
  private static final HostId C = HostId.of("c");
  private static final List<HostId> ORDER = List.of(A, B, C);

  private static HostId choose(HostId self, Set<HostId> answeringHosts, Set<HostId> readingHosts) {
    return CoordinatorChoice.choose(ORDER, self, answeringHosts::contains, readingHosts::contains);
  }

  @Test
  void longestRegisteredHostThatReadsTheStoreIsChosen() {
    assertThat(choose(C, Set.of(A, B), Set.of(A, B))).isEqualTo(A);
    assertThat(choose(C, Set.of(A, B), Set.of(B))).isEqualTo(B);
    assertThat(choose(C, Set.of(B), Set.of(A, B))).isEqualTo(B);
  }

  @Test
  void longestRegisteredHostThatAnswersIsChosenWhenNoneReadsTheStore() {
    assertThat(choose(C, Set.of(B), Set.of())).isEqualTo(B);
    assertThat(choose(A, Set.of(B), Set.of())).isEqualTo(A);
  }

  @Test
  void isolatedHostChoosesItself() {
    assertThat(choose(C, Set.of(), Set.of(A))).isEqualTo(C);
    assertThat(CoordinatorChoice.choose(List.of(), C, h -> false, h -> false)).isEqualTo(C);
  }
}
