package org.waxwingcourse.node.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.policy.retry.RetryPolicy;
import org.waxwingcourse.standin.plain.ServiceFaults;
import org.waxwingcourse.standin.plain.ServiceOptions;
import org.waxwingcourse.standin.plain.ServiceStandIn;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.upstream.service.ServiceCall;
import org.waxwingcourse.upstream.service.ServiceClient;

class AtMostOnceServiceDispatcherTest {
  private final InstantSource clock = MonotonicClock.start();
  private final MemoryStore store = MemoryStore.of(clock);
  private final HttpCaller http = HttpCaller.of(clock, 2);
  private final ServiceStandIn service = ServiceStandIn.start(ServiceOptions.of(false));
  private final List<ServiceDispatcher> hosts = new ArrayList<>();

  @BeforeEach
  void start() {
    http.start();
    for (int i = 0; i < 2; i++) {
      RetryPolicy retries = RetryPolicy.of(clock, new Random(i));
      ServiceClient client = ServiceClient.of(http, clock, new Random(i), retries);
      hosts.add(new AtMostOnceServiceDispatcher(new DirectServiceDispatcher(client), store, clock));
    }
  }

  @AfterEach
  void stop() {
    service.stop();
    http.stop();
  }

  @Test
  void callSentToTwoHostsAtOnceRunsOnce() {
    CompletableFuture<Outcome> first = send(0, "k", "bill");
    CompletableFuture<Outcome> second = send(1, "k", "bill");
    CompletableFuture.allOf(first, second).orTimeout(40, TimeUnit.SECONDS).join();
    assertThat(List.of(first.join(), second.join())).anyMatch(o -> o instanceof Outcome.Done);
    assertThat(service.runsOfKey("k")).isEqualTo(1);
  }

  @Test
  void callWithConnectionResetAfterExecutionIsUnknownAndNotRepeated() {
    service.setFaults(new ServiceFaults(0, 0, 1, 0, false, 0));
    assertThat(end(send(0, "k", "bill"))).isInstanceOf(Outcome.Unknown.class);
    assertThat(end(send(1, "k", "bill"))).isInstanceOf(Outcome.Unknown.class);
    assertThat(service.runsOfKey("k")).isEqualTo(1);
  }

  @Test
  void storedAnswerIsReturnedByAnotherHost() {
    assertThat(end(send(0, "k", "bill"))).isInstanceOf(Outcome.Done.class);
    assertThat(end(send(1, "k", "bill"))).isInstanceOf(Outcome.Done.class);
    assertThat(end(send(1, "k", "other"))).isInstanceOf(Outcome.Refused.class);
    assertThat(service.runsOfKey("k")).isEqualTo(1);
  }

  @Test
  void callDuringStoreOutageIsRejectedAndNotSent() {
    store.setFaults(StoreFaults.NONE.withOutage(StoreFaults.Outage.REFUSING));
    assertThat(end(send(0, "k", "bill"))).isInstanceOf(Outcome.Refused.class);
    assertThat(service.runsOfKey("k")).isZero();
    store.setFaults(StoreFaults.NONE);
    assertThat(end(send(1, "k", "bill"))).isInstanceOf(Outcome.Done.class);
    assertThat(service.runsOfKey("k")).isEqualTo(1);
  }

  @Test
  void claimIsRecognisedAfterResponseToItsWriteWasLost() {
    end(send(0, "warm", "bill"));
    store.loseAnswers(1);
    assertThat(end(send(0, "k", "bill"))).isInstanceOf(Outcome.Done.class);
    assertThat(service.runsOfKey("k")).isEqualTo(1);
  }

  private Outcome end(CompletableFuture<Outcome> answer) {
    return answer.orTimeout(40, TimeUnit.SECONDS).join();
  }

  private CompletableFuture<Outcome> send(int host, String key, String body) {
    PlainService billing =
        new PlainService(ServiceName.of("billing"), List.of(service.address()), false, false);
    ServiceCall call =
        new ServiceCall(
            billing,
            "POST",
            "/bill",
            List.of(Header.of("Idempotency-Key", key)),
            body.getBytes(StandardCharsets.UTF_8),
            Deadline.after(clock, Duration.ofSeconds(20)));
    CompletableFuture<Outcome> end = new CompletableFuture<>();
    Option<OrganisationId> organisation = Option.some(OrganisationId.of("o"));
    hosts
        .get(host)
        .submit(
            new ServiceRequest(RequestId.of("r"), organisation, call),
            new AnswerListener() {
              @Override
              public void onStart(int status, String contentType) {}

              @Override
              public void onChunk(byte[] bytes) {}

              @Override
              public void onEnd(Outcome outcome) {
                end.complete(outcome);
              }
            });
    return end;
  }
}
