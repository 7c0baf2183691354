package org.waxwingcourse.upstream.service;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.retry.RetryPolicy;

class ServiceClientTest {
  private static final InstantSource CLOCK = InstantSource.system();

  private final HttpCaller http = HttpCaller.of(CLOCK, 2);
  private final ServiceClient client =
      ServiceClient.of(http, CLOCK, new Random(1), RetryPolicy.of(CLOCK, new Random(2)));
  private final AtomicInteger executions = new AtomicInteger();
  private final List<String> receivedHeaders = Collections.synchronizedList(new ArrayList<>());
  private HttpServer server;
  private volatile int lostResponses;

  @BeforeEach
  void start() throws IOException {
    http.start();
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          receivedHeaders.addAll(exchange.getRequestHeaders().keySet());
          if (executions.incrementAndGet() > lostResponses) {
            exchange.sendResponseHeaders(200, -1);
          }
          exchange.close();
        });
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop(0);
    http.stop();
  }

  @Test
  void nonRepeatableCallRunsOnceWhenResponseIsLost() {
    lostResponses = 1;
    assertThat(call(false, address()).getLeft()).isInstanceOf(Outcome.Unknown.class);
    assertThat(executions).hasValue(1);
  }

  @Test
  void repeatableCallIsRetriedWhenResponseIsLost() {
    lostResponses = 1;
    assertThat(call(true, address()).get().status()).isEqualTo(200);
    assertThat(executions).hasValue(2);
  }

  @Test
  void instanceThatRefusesConnectionsIsSkipped() throws IOException {
    HttpServer closed = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    URI closedAddress = URI.create("http://127.0.0.1:" + closed.getAddress().getPort());
    closed.start();
    closed.stop(0);
    for (int i = 0; i < 4; i++) {
      assertThat(call(false, closedAddress, address()).get().status()).isEqualTo(200);
    }
    assertThat(executions).hasValue(4);
    assertThat(call(false, closedAddress).getLeft()).isInstanceOf(Outcome.Refused.class);
  }

  @Test
  void callersKeyIsNotForwarded() {
    call(true, address());
    assertThat(receivedHeaders)
        .contains("Accept")
        .doesNotContain("Authorization", "X-api-key", "Cookie");
  }

  private URI address() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private Either<Outcome, HttpAnswer> call(boolean repeatable, URI... addresses) {
    PlainService service =
        new PlainService(ServiceName.of("s"), List.of(addresses), repeatable, false);
    List<Header> headers =
        List.of(
            Header.of("Accept", "*/*"),
            Header.of("Authorization", "Bearer k"),
            Header.of("X-Api-Key", "k"),
            Header.of("Cookie", "k"));
    Deadline deadline = Deadline.after(CLOCK, Duration.ofSeconds(30));
    ServiceCall call =
        new ServiceCall(service, "POST", "/bill?x=1", headers, new byte[3], deadline);
    return client.call(call).orTimeout(40, TimeUnit.SECONDS).join();
  }
}
