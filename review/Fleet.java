import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/** A small deployment on loopback: the store, engines and processes of the system. */
final class Fleet implements AutoCloseable {
  static final String HOST = "jobs.example";
  static final String KEY = "key-of-tenant-one";
  static final String OTHER_KEY = "key-of-tenant-two";
  static final String SERVICE = "scribe";

  final Recorder record;
  final KvStandIn store;
  final List<NodeProcess> nodes = new ArrayList<>();
  final List<EngineStandIn> engines = new ArrayList<>();
  private static final long HEARTBEAT_MILLIS = 1200;

  private final ScheduledExecutorService heartbeats = Executors.newScheduledThreadPool(1);
  private final Path folder;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  Fleet(Path recordFile) throws IOException {
    record = new Recorder(recordFile);
    store = new KvStandIn(record);
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(NodeProcess::close)));
    Thread watchdog = new Thread(Fleet::endInTime, "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
  }

  /** Ends the script, and by the shutdown hook all processes, if it takes too long. */
  private static void endInTime() {
    try {
      Thread.sleep(115_000);
    } catch (InterruptedException e) {
      return;
    }
    System.err.println("the case did not end in time");
    System.exit(2);
  }

  private static String ip(int last) {
    long pid = ProcessHandle.current().pid();
    return "127." + (64 + (pid / 250) % 64) + "." + (1 + pid % 250) + "." + last;
  }

  void addEngine(String id, int slots, long gapMillis, ToIntFunction<String> eventsOfPath)
      throws IOException {
    EngineStandIn engine =
        new EngineStandIn(id, ip(100 + engines.size()), slots, gapMillis, eventsOfPath, record);
    engines.add(engine);
    long phase = engines.size() * HEARTBEAT_MILLIS / 6 % HEARTBEAT_MILLIS;
    store.put("servers/" + id, engine.entry(SERVICE, "ready"));
    heartbeats.scheduleAtFixedRate(
        () -> store.beat("servers/" + id, engine.entry(SERVICE, "ready")),
        phase,
        HEARTBEAT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  NodeProcess addNode(String name, String role) throws IOException {
    NodeProcess node =
        new NodeProcess(name, role, ip(10 + nodes.size()), store.open(name), folder, record);
    nodes.add(node);
    return node;
  }

  /** Writes a configuration with the given routes and one tenant. */
  void configure(long version, List<ObjectNode> routes, double ratePerS, double burst) {
    ObjectNode root = Json.object().put("version", version);
    ArrayNode list = root.putArray("routes");
    routes.forEach(list::add);
    root.putArray("services")
        .add(
            Json.object()
                .put("name", SERVICE)
                .put("healthPath", "/healthz")
                .set("engine", Json.object().put("slots", 8)));
    ObjectNode limits = root.putObject("limits");
    limits.put("maxHeaderBytes", 16384).put("maxBodyBytes", 4194304);
    limits.put("headerTimeoutMs", 5000).put("idleTimeoutMs", 20000);
    ArrayNode tenants = root.putArray("tenants");
    ObjectNode tenant = tenants.addObject().put("name", "tenant-one");
    tenant.putArray("apiKeys").add(KEY);
    tenant.put("ratePerS", ratePerS).put("burst", burst);
    ObjectNode other = tenants.addObject().put("name", "tenant-two");
    other.putArray("apiKeys").add(OTHER_KEY);
    other.put("ratePerS", 0).put("burst", 0);
    store.put("op/config", root.toString());
    record.write("operator: configuration %d acknowledged", version);
  }

  static ObjectNode batchRoute() {
    return Json.object()
        .put("name", "drafts")
        .put("host", HOST)
        .put("pathPrefix", "/drafts/")
        .put("kind", "batch")
        .put("service", SERVICE)
        .put("public", false)
        .put("sessionAffinity", true)
        .put("timeoutMs", 15000)
        .put("targetLatencyMs", 400)
        .put("completionTargetMs", 18000)
        .put("queueTtlS", 90)
        .put("maxAttempts", 3)
        .put("priority", 2)
        .put("cap", 0);
  }

  /** Adds as many machines as the site has: three with a disk, nine that take callers. */
  List<NodeProcess> addSite() throws IOException {
    for (int i = 1; i <= 3; i++) {
      addNode("worker-" + i, "worker");
    }
    List<NodeProcess> fronts = new ArrayList<>();
    for (int i = 1; i <= 9; i++) {
      fronts.add(addNode("edge-" + i, "node"));
    }
    return fronts;
  }

  /** Returns the addresses that a host names to callers; none if it does not answer. */
  List<String> resolve(NodeProcess node) {
    List<String> addresses = new ArrayList<>();
    URI uri = URI.create(node.directoryUrl() + "/resolve?name=" + HOST + "&region=r&zone=a");
    try {
      String body =
          http.send(
                  HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build(),
                  HttpResponse.BodyHandlers.ofString())
              .body();
      JsonNode answer = Json.parse(body.getBytes(StandardCharsets.UTF_8));
      answer.path("addresses").forEach(a -> addresses.add(a.asText()));
      record.write("client: %s names %s, ttlS %s", node.name(), addresses, answer.path("ttlS"));
    } catch (IOException e) {
      record.write("client: %s names no hosts: %s", node.name(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return addresses;
  }

  void startNodes() throws IOException {
    for (NodeProcess node : nodes) {
      node.start();
    }
  }

  /** Waits until all processes that take callers are ready; exits with 2 if they are not. */
  void awaitReady(Duration limit) throws InterruptedException {
    long until = System.nanoTime() + limit.toNanos();
    for (NodeProcess node : nodes) {
      if (node.name().startsWith("worker")) {
        continue;
      }
      while (status(node.readyUrl()) != 200) {
        if (System.nanoTime() > until) {
          throw new IllegalStateException(node.name() + " is not ready");
        }
        Thread.sleep(50);
      }
    }
    record.write("platform: all are ready");
  }

  private int status(String url) {
    try {
      return http.send(
              HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(1)).build(),
              HttpResponse.BodyHandlers.ofString())
          .statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  /** A response, with status 0 if there was none. */
  record Answer(int status, String body) {
    JsonNode json() {
      return Json.parse(body.getBytes(StandardCharsets.UTF_8));
    }
  }

  Answer call(NodeProcess node, String method, String target, String body, String... headers) {
    return callAs(KEY, node, method, target, body, headers);
  }

  Answer callAs(
      String key, NodeProcess node, String method, String target, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(node.frontUrl() + target))
            .timeout(Duration.ofSeconds(6))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .header("Host", HOST)
            .header("Api-Key", key);
    if (!target.startsWith("/queries/")) {
      // Each call about a batch job comes on a new channel.
      request.header("Connection", "close");
    }
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, e.toString());
    }
  }

  /** Submits a batch job, at the next node after each failure, as clients do. */
  boolean submit(String job, List<String> itemPaths, int firstNode, List<NodeProcess> fronts)
      throws InterruptedException {
    return submitAs(KEY, job, itemPaths, firstNode, fronts);
  }

  boolean submitAs(
      String key, String job, List<String> itemPaths, int firstNode, List<NodeProcess> fronts)
      throws InterruptedException {
    ObjectNode root = Json.object();
    ArrayNode items = root.putArray("items");
    for (int i = 0; i < itemPaths.size(); i++) {
      ObjectNode item = items.addObject();
      item.put("id", job + "-" + i).put("path", itemPaths.get(i));
      item.putObject("headers").put("X-Model", "m").put("X-Token-Usage", "350,247").put("X-Prompt-Prefix", "9c2e41:100," + Integer.toHexString((job + i).hashCode()) + ":250");
      item.put("body", "q83vEjRWeJA=").put("tokens", 597);
    }
    for (int attempt = 0; attempt < 40; attempt++) {
      NodeProcess node = fronts.get((firstNode + attempt) % fronts.size());
      Answer answer =
          callAs(
              key,
              node,
              "POST",
              "/drafts/" + job,
              root.toString(),
              "X-Attempt-Id",
              job,
              "Content-Type",
              "application/json");
      record.write("client: batch job %s to %s: %d", job, node.name(), answer.status);
      if (answer.status == 202) {
        return true;
      }
      Thread.sleep(300);
    }
    return false;
  }

  Answer read(NodeProcess node, String job, int after) {
    return call(node, "GET", "/lots/" + job + "?after=" + after, null);
  }

  /** Reads all results of a job from a position on, page by page; none if a read fails. */
  List<JsonNode> readAll(NodeProcess node, String job) throws InterruptedException {
    for (int attempt = 0; attempt < 10; attempt++) {
      List<JsonNode> results = new ArrayList<>();
      while (true) {
        Answer answer = read(node, job, results.size());
        if (answer.status != 200) {
          record.write("client: read of %s at %s: %d", job, node.name(), answer.status);
          break;
        }
        JsonNode page = answer.json();
        if (page.path("results").isEmpty()) {
          return results;
        }
        page.path("results").forEach(results::add);
      }
      Thread.sleep(500);
    }
    return null;
  }

  @Override
  public void close() {
    nodes.forEach(NodeProcess::close);
    heartbeats.shutdownNow();
    engines.forEach(EngineStandIn::close);
    store.close();
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      } catch (IOException e) {
        record.write("the temporary folder could not be removed: %s", e);
      }
    } else {
      System.out.println("logs are in " + folder);
    }
    record.close();
  }
}
