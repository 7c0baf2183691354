import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.function.ToIntFunction;

/** A sound engine: it streams events, resumes after an event, and refuses when it is full. */
final class EngineStandIn implements AutoCloseable {
  /** A run that began. */
  record Run(String engine, String id, String path, String tenant, long after, double at) {}

  private final String id;
  private final int slots;
  private final long gapMillis;
  private final ToIntFunction<String> eventsOfPath;
  private final long born = System.currentTimeMillis();
  private final Semaphore free;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Recorder record;
  private final List<Run> runs = new CopyOnWriteArrayList<>();

  EngineStandIn(
      String id, String ip, int slots, long gapMillis, ToIntFunction<String> eventsOfPath, Recorder record)
      throws IOException {
    this.id = id;
    this.slots = slots;
    this.gapMillis = gapMillis;
    this.eventsOfPath = eventsOfPath;
    this.free = new Semaphore(slots);
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), 0), 128);
    server.setExecutor(threads);
    server.createContext("/", this::serve);
    server.start();
  }

  String id() {
    return id;
  }

  String entry(String service, String state) {
    return Json.object()
        .put("service", service)
        .put(
            "address",
            server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort())
        .put("zone", "a")
        .put("version", "1")
        .put("slots", slots)
        .put("state", state)
        .put("coldRemainingMs", 0)
        .put("sequence", 1)
        .put("born", born)
        .toString();
  }

  List<Run> runs() {
    return runs;
  }

  /** Returns the whole text of an item: the data of all its events. */
  static String wholeText(String requestId, int events) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= events; i++) {
      text.append(i == 1 ? "" : "\n").append(data(requestId, i));
    }
    return text.toString();
  }

  private static String data(String requestId, int n) {
    return "word-" + requestId + "-" + n;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private void serve(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Headers headers = exchange.getRequestHeaders();
    String request = headers.getFirst("X-Attempt-Id");
    String expected = headers.getFirst("X-Expected-Instance");
    if (request == null) {
      refuse(exchange, 400, null);
    } else if (expected != null && !expected.equals(id)) {
      refuse(exchange, 421, request);
    } else if (!free.tryAcquire()) {
      refuse(exchange, 503, request);
    } else {
      try {
        run(exchange, request, headers);
      } finally {
        free.release();
      }
    }
  }

  private void refuse(HttpExchange exchange, int status, String request) throws IOException {
    if (request != null) {
      exchange.getResponseHeaders().set("X-Attempt-Id", request);
    }
    exchange.getResponseHeaders().set("X-Not-Executed", "1");
    exchange.sendResponseHeaders(status, -1);
    exchange.close();
  }

  private void run(HttpExchange exchange, String request, Headers headers) throws IOException {
    String after = headers.getFirst("Last-Event-Id");
    long from = after == null ? 0 : Long.parseLong(after);
    String path = exchange.getRequestURI().toString();
    String tenant = headers.getFirst("X-Tenant");
    runs.add(new Run(id, request, path, tenant, from, record.seconds()));
    record.write("engine %s: runs %s, tenant %s, after event %d", id, request, tenant, from);
    int events = eventsOfPath.applyAsInt(path);
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.getResponseHeaders().set("X-Attempt-Id", request);
    exchange.getResponseHeaders().set("X-Response-Signature", id + "." + request);
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream out = exchange.getResponseBody()) {
      for (long n = from + 1; n <= events; n++) {
        Thread.sleep(gapMillis);
        String event = "id: " + n + "\ndata: " + data(request, (int) n) + "\n\n";
        out.write(event.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      record.write("engine %s: finished %s", id, request);
    } catch (IOException e) {
      record.write("engine %s: channel of %s closed", id, request);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    exchange.close();
  }
}
