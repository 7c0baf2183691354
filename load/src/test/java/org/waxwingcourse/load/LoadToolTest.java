package org.waxwingcourse.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.load.plan.ArrivalProcess;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.plan.OrganisationLoad;
import org.waxwingcourse.load.plan.PlannedFault;
import org.waxwingcourse.load.report.LoadReport;
import org.waxwingcourse.load.report.NamedCount;
import org.waxwingcourse.standin.engine.EngineOptions;
import org.waxwingcourse.standin.engine.EngineStandIn;

class LoadToolTest {
  private final AtomicInteger hostListCalls = new AtomicInteger();
  // 0: no request is rejected; 1: the next request is rejected; -1: a request was rejected.
  private final AtomicInteger rejectionState = new AtomicInteger();
  private final AtomicLong stallMillis = new AtomicLong();
  private EngineStandIn firstEngine;
  private EngineStandIn secondEngine;
  private HttpServer directory;

  @BeforeEach
  void start() throws IOException {
    firstEngine = EngineStandIn.start(EngineOptions.of("m"));
    secondEngine = EngineStandIn.start(EngineOptions.of("m"));
    directory = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    directory.setExecutor(Executors.newSingleThreadExecutor());
    directory.createContext("/v1/hosts", this::serveHostList);
    directory.createContext("/v1/chat/completions", this::serveRateLimit);
    directory.start();
  }

  @AfterEach
  void stop() {
    directory.stop(0);
    firstEngine.stop();
    secondEngine.stop();
  }

  @Test
  void usesTheListedHostsAndRefreshesTheListWhenItExpires() throws Exception {
    LoadReport report = LoadTool.run(plan(address(), 1, List.of()));
    assertThat(report.total().completed()).isEqualTo(report.total().arrivals()).isPositive();
    assertThat(hostListCalls.get()).isGreaterThan(1);
    assertThat(runsOf(firstEngine)).as("before the host list expired").isPositive();
    assertThat(runsOf(secondEngine)).as("after the host list expired").isPositive();
    JsonNode json = new ObjectMapper().readTree(report.json());
    assertThat(json.at("/total/first_token/count").asLong()).isEqualTo(report.total().completed());
    assertThat(report.table()).contains("all", "worst served: a");
  }

  @Test
  void sendsOnScheduleDuringAStallAndMeasuresLatencyFromTheScheduledTime() throws Exception {
    stallMillis.set(400);
    LoadPlan plan = plan(address(), 0, List.of());
    LoadReport report = LoadTool.run(plan);
    assertThat(report.total().arrivals()).isEqualTo(ArrivalProcess.arrivalsOf(plan).size());
    assertThat(report.total().latency().max())
        .as("the first request waits for the delayed host list")
        .isGreaterThan(400);
    assertThat(report.total().latency().p50()).isLessThan(report.total().latency().max());
  }

  @Test
  void retriesRejectedRequestsAfterTheirDelayAndDetectsWrongAnswers() throws Exception {
    rejectionState.set(1);
    PlannedFault cross =
        new PlannedFault(
            Duration.ZERO,
            firstEngine.address().resolve("/control/faults"),
            "{\"cross_answers\": 3}");
    LoadReport report = LoadTool.run(plan(address(), 1, List.of(cross)));
    assertThat(report.total().outcomes()).contains(new NamedCount("wrong_answer", 3));
    long refused = count(report, "rate_limited");
    assertThat(refused).isPositive();
    assertThat(report.total().refusedInsideRate()).isEqualTo(refused);
    assertThat(report.faults().get(0).result()).isEqualTo("status 200");
    assertThat(report.total().completed() + 3)
        .as("every rejected request is retried and answered")
        .isEqualTo(report.total().arrivals());
  }

  private LoadPlan plan(URI host, int retries, List<PlannedFault> faults) {
    OrganisationLoad load = new OrganisationLoad("a", "key", 20, 1000, 1000, 30, 16, 2, 4, 1);
    return new LoadPlan(
        7,
        Duration.ofSeconds(4),
        Duration.ofSeconds(30),
        List.of(host),
        "m",
        Duration.ofSeconds(30),
        retries,
        true,
        List.of(load),
        List.of(),
        List.of(),
        faults);
  }

  private URI address() {
    return URI.create("http://127.0.0.1:" + directory.getAddress().getPort());
  }

  private static long count(LoadReport report, String outcome) {
    return report.total().outcomes().stream()
        .filter(one -> one.name().equals(outcome))
        .mapToLong(NamedCount::count)
        .sum();
  }

  private static int runsOf(EngineStandIn engine) {
    return engine.runs();
  }

  private void serveHostList(HttpExchange exchange) throws IOException {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(stallMillis.get()));
    int earlierCalls = hostListCalls.getAndIncrement();
    URI listed = earlierCalls == 0 ? firstEngine.address() : secondEngine.address();
    if (rejectionState.get() > 0) {
      listed = address();
    } else if (earlierCalls > 0 && rejectionState.get() < 0) {
      listed = firstEngine.address();
    }
    Instant until = Instant.now().plusMillis(700);
    String json =
        """
        {"hosts":[{"address":"%s","data_centre":"d"}],"valid_until":"%s"}"""
            .formatted(listed, until);
    respond(exchange, 200, json);
  }

  private void serveRateLimit(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    rejectionState.set(-1);
    exchange.getResponseHeaders().add("Retry-After", "1");
    respond(exchange, 429, "{}");
  }

  private static void respond(HttpExchange exchange, int status, String json) throws IOException {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }
}
