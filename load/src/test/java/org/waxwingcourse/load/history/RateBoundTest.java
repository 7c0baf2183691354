package org.waxwingcourse.load.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.model.fleet.Rate;

class RateBoundTest {
  @ParameterizedTest
  @CsvSource({
    "100, 0, 10, 5, 0", // exactly at the rate from an empty bucket
    "50, 0, 10, 5, 1", // twice the rate
    "50, 2000, 10, 5, 0", // the same, but decided at any time in two seconds
  })
  void onlyACertainExcessCounts(
      long spacing, long uncertainty, double perSecond, int burst, int broken) {
    List<TracedAdmission> history = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String line = i * spacing + "," + (i * spacing + uncertainty) + ",h,o,online,admitted";
      history.add(TracedAdmission.parse(line).get());
    }
    double excess = RateBound.excess(history, Rate.of(perSecond, burst));
    assertThat(excess > 0).isEqualTo(broken == 1);
  }

  @Test
  void brokenLineIsNamed() {
    assertThat(TracedAdmission.parse("1,2,h,o").getLeft()).contains("\"1,2,h,o\"");
  }
}
