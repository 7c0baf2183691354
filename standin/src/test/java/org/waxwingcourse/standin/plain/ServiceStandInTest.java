package org.waxwingcourse.standin.plain;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.http.RatpackHttpClient;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;

class ServiceStandInTest {
  private final MonotonicClock clock = MonotonicClock.start();

  @ParameterizedTest
  @CsvSource({"false, 2", "true, 1"})
  void runsAreCountedByKeyAndResponsesEchoTheRequest(boolean repeatable, int runs) {
    try (ServiceStandIn service = ServiceStandIn.start(ServiceOptions.of(repeatable));
        RatpackHttpClient http = startHttpCaller()) {
      callService(service, http, "one");
      assertThat(callService(service, http, "two").get().bodyText())
          .contains("two", "/bill", "key-1");
      assertThat(service.countRunsOfKey("key-1")).isEqualTo(runs);
    }
  }

  @Test
  void resetBeforeARunCountsNoRunAndResetAfterARunCountsOne() {
    try (ServiceStandIn service = ServiceStandIn.start(ServiceOptions.of(false));
        RatpackHttpClient http = startHttpCaller()) {
      service.setFaults(new ServiceFaults(0, 1, 1, 0, false, 0));
      assertThat(callService(service, http, "a").getLeft().kind()).isEqualTo(CallFailure.Kind.LOST);
      assertThat(service.countRunsOfKey("key-1")).isZero();
      assertThat(callService(service, http, "b").getLeft().kind()).isEqualTo(CallFailure.Kind.LOST);
      assertThat(service.countRunsOfKey("key-1")).isEqualTo(1);
    }
  }

  private RatpackHttpClient startHttpCaller() {
    RatpackHttpClient http = RatpackHttpClient.of(clock, 1);
    http.start();
    return http;
  }

  private Either<CallFailure, BufferedHttpResponse> callService(
      ServiceStandIn service, RatpackHttpClient http, String body) {
    URI uri = service.address().resolve("/bill");
    Deadline deadline = Deadline.after(clock, Duration.ofSeconds(30));
    HttpRequest request =
        HttpRequest.postJson(uri, body, deadline).withHeader(Header.of("Idempotency-Key", "key-1"));
    return http.call(request).join();
  }
}
