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
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToIntFunction;

/**
 * A sound engine: it streams events, resumes after an event, refuses when it is full, and stops at
 * the time that it is given.
 */
final class EngineStandIn implements AutoCloseable {
  /** A run that began, and when it ended; not a number while it lasts. */
  static final class Run {
    private final String engine;
    private final String id;
    private final double at;
    private volatile double endedAt = Double.NaN;
    private volatile boolean whole;

    Run(String engine, String id, double at) {
      this.engine = engine;
      this.id = id;
      this.at = at;
    }

    String engine() {
      return engine;
    }

    String id() {
      return id;
    }

    double at() {
      return at;
    }

    /** Returns whether the engine worked on the run at some time from {@code from} to {@code to}. */
    boolean overlaps(double from, double to) {
      return at < to && (Double.isNaN(endedAt) || endedAt > from);
    }

    /** Returns whether the run was finished at some time from {@code from} to {@code to}. */
    boolean finishedWithin(double from, double to) {
      return whole && endedAt > from && endedAt < to;
    }
  }

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
  private final AtomicLong sequence = new AtomicLong();

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
        .put("sequence", sequence.incrementAndGet())
        .put("born", born)
        .toString();
  }

  List<Run> runs() {
    return runs;
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
    if (exchange.getRequestMethod().equals("GET")) {
      exchange.getResponseHeaders().set("X-Instance-Id", id);
      exchange.sendResponseHeaders(200, -1);
      exchange.close();
      return;
    }
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
    String budget = headers.getFirst("X-Time-Budget-Ms");
    long from = after == null ? 0 : Long.parseLong(after);
    long until =
        System.nanoTime() + (budget == null ? 60_000 : Long.parseLong(budget)) * 1_000_000;
    Run run = new Run(id, request, record.seconds());
    runs.add(run);
    String tenant = headers.getFirst("X-Tenant");
    record.write("engine %s: runs %s, tenant %s, after event %d", id, request, tenant, from);
    int events = eventsOfPath.applyAsInt(exchange.getRequestURI().toString());
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.getResponseHeaders().set("X-Attempt-Id", request);
    exchange.getResponseHeaders().set("X-Response-Signature", id + "." + request);
    exchange.getResponseHeaders().set("X-Weight-Versions", "1");
    exchange.sendResponseHeaders(200, 0);
    OutputStream out = exchange.getResponseBody();
    try {
      for (long n = from + 1; n <= events; n++) {
        Thread.sleep(gapMillis);
        if (System.nanoTime() > until) {
          record.write("engine %s: the time of %s is up", id, request);
          run.endedAt = record.seconds();
          throw new IOException("the time is up");
        }
        String event = "id: " + n + "\ndata: " + data(request, (int) n) + "\n\n";
        out.write(event.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      out.close();
      run.whole = true;
      run.endedAt = record.seconds();
      record.write("engine %s: finished %s", id, request);
    } catch (IOException e) {
      run.endedAt = record.seconds();
      record.write("engine %s: channel of %s closed", id, request);
      throw e;
    } catch (InterruptedException e) {
      run.endedAt = record.seconds();
      Thread.currentThread().interrupt();
    }
    exchange.close();
  }
}
