import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A sound metadata store with the HTTP interface of the protocol page. Each caller gets a port of
 * its own, so that faults can be injected by caller.
 */
final class KvStandIn implements AutoCloseable {
  /** What happens to one call. */
  enum Treatment {
    /** It is served. */
    SERVE,
    /** It is refused with status 503; nothing is done. */
    REFUSE,
    /** It is done, and its answer is lost: the channel returns nothing further. */
    LOSE_ANSWER,
    /** It is not answered, and is done later if its condition still holds. */
    DO_LATE,
    /** It is done, and answered sixty times as late as usual. */
    SLOW
  }

  /** Decides what happens to a call. */
  interface Faults {
    Treatment treat(String caller, String method, String target, String body);

    /** Returns how much later a {@link Treatment#DO_LATE} call is done. */
    default long lateMillis() {
      return 1500;
    }
  }

  private record Item(String key, String value, long revision, long created, long lease) {}

  private record Change(String key, long revision, Item item) {}

  private record Lease(long ttlMillis, long endsAt) {}

  private record Result(int status, ObjectNode body) {}

  /** Time of an answer, and of one of the store while it is slow. */
  private static final long ANSWER_MILLIS = 4;

  private static final long SLOW_MILLIS = 60 * ANSWER_MILLIS;
  private static final int MAX_ENTRIES = 32;
  private static final int MAX_VALUE_CHARS = 4 * (1 << 20) / 3 + 4;

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final Recorder record;
  private volatile Faults faults = (caller, method, target, body) -> Treatment.SERVE;
  private long revision = 1;
  private long lastLease;

  KvStandIn(Recorder record) {
    this.record = record;
    timer.scheduleAtFixedRate(this::endLeases, 20, 20, TimeUnit.MILLISECONDS);
  }

  /** Opens a port for a caller and returns its address. */
  String open(String caller) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(threads);
    server.createContext("/", exchange -> serve(caller, exchange));
    server.start();
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void setFaults(Faults newFaults) {
    faults = newFaults;
  }

  /** Writes a key as an operator or an engine does; returns the revision. */
  synchronized long put(String key, String json) {
    revision++;
    apply(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
    return revision;
  }

  /** Returns the keys with a prefix, the earliest created first. */
  synchronized List<String> keysByCreation(String prefix) {
    return items.values().stream()
        .filter(i -> i.key.startsWith(prefix))
        .sorted(Comparator.comparingLong(Item::created))
        .map(Item::key)
        .toList();
  }

  /** Writes an engine's entry, unless the store refuses calls now. */
  void beat(String key, String json) {
    if (faults.treat("engines", "POST", "/beat", "") != Treatment.REFUSE) {
      put(key, json);
    }
  }

  @Override
  public void close() {
    servers.forEach(s -> s.stop(0));
    threads.shutdownNow();
    timer.shutdownNow();
  }

  private void serve(String caller, HttpExchange exchange) throws IOException {
    String method = exchange.getRequestMethod();
    String target = exchange.getRequestURI().toString();
    byte[] body = exchange.getRequestBody().readAllBytes();
    String text = new String(body, StandardCharsets.UTF_8);
    switch (faults.treat(caller, method, target, text)) {
      case SERVE -> {
        Result done = handle(method, exchange, body);
        pause(ANSWER_MILLIS);
        send(exchange, done);
      }
      case REFUSE -> send(exchange, new Result(503, Json.object()));
      case LOSE_ANSWER -> {
        Result done = handle(method, exchange, body);
        record.write("store: answer lost to %s: %s %s (%d)", caller, method, target, done.status);
      }
      case DO_LATE -> {
        long late = faults.lateMillis();
        record.write("store: %s %s of %s is not answered, done in %d ms", method, target, caller, late);
        timer.schedule(
            () -> {
              Result done = handle(method, exchange, body);
              record.write("store: late %s %s of %s: status %d", method, target, caller, done.status);
            },
            late,
            TimeUnit.MILLISECONDS);
      }
      case SLOW -> {
        Result done = handle(method, exchange, body);
        pause(SLOW_MILLIS);
        send(exchange, done);
      }
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void send(HttpExchange exchange, Result result) throws IOException {
    byte[] bytes = result.body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(result.status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private Result handle(String method, HttpExchange exchange, byte[] body) {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    try {
      if (path.equals("/kv-key")) {
        return key(query.get("key"));
      } else if (path.equals("/kv-range")) {
        return range(query.get("pathPrefix"), query.getOrDefault("after", ""));
      } else if (path.equals("/kv-watch")) {
        return watch(
            query.get("pathPrefix"),
            Long.parseLong(query.get("after")),
            Long.parseLong(query.get("waitMs")));
      } else if (path.equals("/kv-txn")) {
        return transact(Json.parse(body));
      } else if (path.equals("/kv-lease")) {
        return grant(Json.parse(body).path("ttlMs").asLong());
      }
      long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
      return path.startsWith("/kv-keep/") ? renew(lease) : end(lease);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Result(503, Json.object());
    }
  }

  private synchronized Result key(String key) {
    Item item = items.get(key);
    ObjectNode root = item == null ? Json.object() : json(item);
    return new Result(item == null ? 404 : 200, root.put("asOf", revision));
  }

  private synchronized Result range(String prefix, String after) {
    ObjectNode root = Json.object();
    ArrayNode list = root.putArray("items");
    boolean more = false;
    for (Item item : items.tailMap(prefix, true).values()) {
      if (!item.key.startsWith(prefix)) {
        break;
      }
      if (item.key.compareTo(after) > 0) {
        if (list.size() == 500) {
          more = true;
          break;
        }
        list.add(json(item));
      }
    }
    return new Result(200, root.put("hasMore", more).put("asOf", revision));
  }

  private synchronized Result watch(String prefix, long after, long waitMillis)
      throws InterruptedException {
    long until = System.nanoTime() + waitMillis * 1_000_000;
    ObjectNode root = Json.object();
    ArrayNode events = root.putArray("events");
    while (true) {
      for (Change change : history) {
        if (change.revision > after && change.key.startsWith(prefix)) {
          events.add(
              change.item != null
                  ? json(change.item)
                  : Json.object()
                      .put("key", change.key)
                      .put("revision", change.revision)
                      .put("deleted", true));
        }
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      if (events.size() > 0 || left <= 0) {
        return new Result(200, root.put("asOf", revision));
      }
      wait(left);
    }
  }

  private synchronized Result transact(JsonNode body) {
    ObjectNode conflict = Json.object();
    ArrayNode current = conflict.putArray("items");
    boolean holds = true;
    for (JsonNode row : body.path("expectedRev")) {
      Item item = items.get(row.path("key").asText());
      holds &= (item == null ? 0 : item.revision) == row.path("revision").asLong();
      if (item != null) {
        current.add(json(item));
      }
    }
    if (!holds) {
      return new Result(412, conflict.put("asOf", revision));
    }
    if (body.path("expectedRev").size() + body.path("writes").size() + body.path("remove").size()
        > MAX_ENTRIES) {
      return new Result(400, Json.object());
    }
    for (JsonNode row : body.path("writes")) {
      String key = row.path("key").asText();
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return new Result(403, Json.object());
      }
      if (row.path("value").asText().length() > MAX_VALUE_CHARS) {
        return new Result(400, Json.object());
      }
      long lease = row.path("lease").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return new Result(404, Json.object());
      }
    }
    revision++;
    for (JsonNode row : body.path("writes")) {
      apply(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
    }
    body.path("remove").forEach(k -> erase(k.asText()));
    return new Result(200, Json.object().put("revision", revision));
  }

  private void apply(String key, String value, long lease) {
    Item before = items.get(key);
    Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
    items.put(key, item);
    history.add(new Change(key, revision, item));
    notifyAll();
  }

  private void erase(String key) {
    if (items.remove(key) != null) {
      history.add(new Change(key, revision, null));
      notifyAll();
    }
  }

  private synchronized Result grant(long ttlMillis) {
    lastLease++;
    leases.put(lastLease, new Lease(ttlMillis, now() + ttlMillis));
    return new Result(200, Json.object().put("lease", lastLease).put("ttlMs", ttlMillis));
  }

  private synchronized Result renew(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Result(404, Json.object());
    }
    leases.put(id, new Lease(lease.ttlMillis, now() + lease.ttlMillis));
    return new Result(200, Json.object().put("lease", id).put("ttlMs", lease.ttlMillis));
  }

  private synchronized Result end(long id) {
    if (leases.remove(id) == null) {
      return new Result(404, Json.object());
    }
    removeKeysOf(id);
    return new Result(200, Json.object());
  }

  private synchronized void endLeases() {
    List<Long> ended =
        leases.entrySet().stream().filter(e -> e.getValue().endsAt < now()).map(Map.Entry::getKey).toList();
    for (long id : ended) {
      leases.remove(id);
      removeKeysOf(id);
    }
  }

  private void removeKeysOf(long lease) {
    List<String> keys =
        items.values().stream().filter(i -> i.lease == lease).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::erase);
    }
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static ObjectNode json(Item item) {
    return Json.object()
        .put("key", item.key)
        .put("value", item.value)
        .put("revision", item.revision)
        .put("created", item.created)
        .put("lease", item.lease);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      String[] parts = pair.split("=", 2);
      query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return query;
  }
}
