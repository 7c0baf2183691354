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
    "50, 2000, 10, 5, 0", // twice the rate, but decided at any time within 2 s
  })
  void reportsAnExcessOnlyIfNoDecisionTimesSatisfyTheBound(
      long interval, long answerDelay, double perSecond, int burst, int exceeded) {
    List<TracedAdmission> history = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String line = i * interval + "," + (i * interval + answerDelay) + ",h,o,online,admitted";
      history.add(TracedAdmission.parse(line).get());
    }
    double excess = RateBound.excess(history, Rate.of(perSecond, burst));
    assertThat(excess > 0).isEqualTo(exceeded == 1);
  }

  @Test
  void parseErrorQuotesTheMalformedLine() {
    assertThat(TracedAdmission.parse("1,2,h,o").getLeft()).contains("\"1,2,h,o\"");
  }
}
