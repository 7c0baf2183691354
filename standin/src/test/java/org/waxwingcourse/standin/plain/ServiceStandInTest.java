package org.waxwingcourse.standin.plain;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;

class ServiceStandInTest {
  private final MonotonicClock clock = MonotonicClock.start();

  @ParameterizedTest
  @CsvSource({"false, 2", "true, 1"})
  void runsAreCountedByKeyAndResponsesEchoTheRequest(boolean repeatable, int runs) {
    try (ServiceStandIn service = ServiceStandIn.start(ServiceOptions.of(repeatable));
        HttpCaller http = startHttpCaller()) {
      callService(service, http, "one");
      assertThat(callService(service, http, "two").get().text()).contains("two", "/bill", "key-1");
      assertThat(service.runsOfKey("key-1")).isEqualTo(runs);
    }
  }

  @Test
  void resetBeforeARunCountsNoRunAndResetAfterARunCountsOne() {
    try (ServiceStandIn service = ServiceStandIn.start(ServiceOptions.of(false));
        HttpCaller http = startHttpCaller()) {
      service.setFaults(new ServiceFaults(0, 1, 1, 0, false, 0));
      assertThat(callService(service, http, "a").getLeft().kind()).isEqualTo(CallFailure.Kind.LOST);
      assertThat(service.runsOfKey("key-1")).isZero();
      assertThat(callService(service, http, "b").getLeft().kind()).isEqualTo(CallFailure.Kind.LOST);
      assertThat(service.runsOfKey("key-1")).isEqualTo(1);
    }
  }

  private HttpCaller startHttpCaller() {
    HttpCaller http = HttpCaller.of(clock, 1);
    http.start();
    return http;
  }

  private Either<CallFailure, HttpAnswer> callService(
      ServiceStandIn service, HttpCaller http, String body) {
    URI uri = service.address().resolve("/bill");
    Deadline deadline = Deadline.after(clock, Duration.ofSeconds(30));
    HttpRequest request =
        HttpRequest.postJson(uri, body, deadline).with(Header.of("Idempotency-Key", "key-1"));
    return http.call(request).join();
  }
}
