import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** A stand-in of a model engine: it has slots, streams events in chunks and resumes streams. */
final class Engine implements AutoCloseable {
  /** What a run sends. */
  record Output(int events, long pauseMillis, Function<Integer, String> data) {}

  /** Chooses the output of a request. */
  interface Model {
    Output outputOf(Http.Message request);
  }

  private final String id;
  private final int slots;
  private final Kv kv;
  private final Record record;
  private final Model model;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private final Slots queue;
  private volatile long endedAt;
  final AtomicLong runs = new AtomicLong();
  private final Http.Server server;
  private volatile boolean closed;
  private boolean verbose = true;

  Engine(String id, int slots, Kv kv, Record record, Model model) throws IOException {
    this.id = id;
    this.slots = slots;
    this.queue = new Slots(slots);
    this.kv = kv;
    this.record = record;
    this.model = model;
    server = new Http.Server("127.0.0.1", 0, this::handle);
    Http.thread(this::beat);
  }

  Engine quiet() {
    verbose = false;
    return this;
  }

  int running() {
    return running.get();
  }

  /** Returns when the last run ended, by the time of the record; 0 before the first. */
  long endedAt() {
    return endedAt;
  }

  private void beat() {
    for (long sequence = 1; !closed; sequence++) {
      kv.put(
          "servers/" + id,
          String.format(
              "{\"service\":\"model\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"version\":\"v1\","
                  + "\"slots\":%d,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":%d,"
                  + "\"born\":%d}",
              server.port(), slots, sequence, born));
      try {
        Thread.sleep(1200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void head(OutputStream out, int status, Map<String, String> headers)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
    headers.forEach((n, v) -> head.append(n).append(": ").append(v).append("\r\n"));
    out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private boolean handle(Http.Message m, Socket socket, OutputStream out) throws Exception {
    if (m.path().equals("/healthz")) {
      head(out, 200, Map.of("X-Instance-Id", id, "Content-Length", "0"));
      return true;
    }
    String attempt = m.header("X-Attempt-Id");
    if (attempt == null) {
      head(out, 400, Map.of("X-Not-Executed", "1", "Content-Length", "0"));
      return true;
    }
    String expected = m.header("X-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      head(
          out,
          421,
          Map.of("X-Attempt-Id", attempt, "X-Not-Executed", "1", "Content-Length", "0"));
      return true;
    }
    if (!queue.take()) {
      head(
          out,
          503,
          Map.of("X-Attempt-Id", attempt, "X-Not-Executed", "1", "Content-Length", "0"));
      return true;
    }
    running.incrementAndGet();
    try {
      return run(m, attempt, out);
    } finally {
      running.decrementAndGet();
      endedAt = record.millis();
      queue.give();
    }
  }

  private boolean run(Http.Message m, String attempt, OutputStream out) throws Exception {
    runs.incrementAndGet();
    String resume = m.header("Last-Event-Id");
    int after = resume == null ? 0 : Integer.parseInt(resume);
    if (verbose) {
      record.add(
          id,
          "runs " + attempt + " of " + m.header("X-Tenant") + (after > 0 ? " after " + after : ""));
    }
    Output output = model.outputOf(m);
    head(
        out,
        200,
        Map.of(
            "X-Attempt-Id",
            attempt,
            "X-Response-Signature",
            "s." + id + "." + attempt,
            "Content-Type",
            "text/event-stream",
            "Transfer-Encoding",
            "chunked"));
    for (int n = after + 1; n <= output.events; n++) {
      Thread.sleep(output.pauseMillis);
      byte[] event =
          ("id: " + n + "\ndata: " + output.data.apply(n) + "\n\n")
              .getBytes(StandardCharsets.UTF_8);
      out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.write(event);
      out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
    if (verbose) {
      record.add(id, "finished " + attempt);
    }
    return true;
  }

  @Override
  public void close() {
    closed = true;
    server.close();
  }
}
