import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams that may not be resumed, each asked for on a channel of its own with {@code Connection:
 * close}. One of six engines crashes while it sends some of them.
 */
final class CutStreamCase {
  private static final int REQUESTS = 40;
  private static final int EVENTS = 36;
  private static final int PAUSE_MS = 40;

  private CutStreamCase() {}

  /** An engine that can crash: its channels are reset and its port is closed. */
  private static final class CrashingEngine {
    private final String id;
    private final Stage stage;
    private final long born = System.currentTimeMillis();
    private final Set<Integer> sending = ConcurrentHashMap.newKeySet();
    private final Http.Server server;
    private final Slots slots = new Slots(8);
    private volatile boolean down;

    CrashingEngine(String id, Stage stage) throws Exception {
      this.id = id;
      this.stage = stage;
      server = new Http.Server("127.0.0.1", 0, this::handle);
      Http.thread(this::beat);
    }

    private void beat() {
      for (int sequence = 1; !down; sequence++) {
        stage.kv.put(
            "servers/" + id,
            "{\"service\":\"model\",\"address\":\"127.0.0.1:" + server.port()
                + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                + "\"coldRemainingMs\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}");
        try {
          Thread.sleep(1200);
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    private boolean handle(Http.Message m, Socket socket, OutputStream out) throws Exception {
      String attempt = m.header("X-Attempt-Id");
      if (!id.equals(m.header("X-Expected-Instance"))) {
        out.write(
            ("HTTP/1.1 421 S\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        return true;
      }
      if (!slots.take()) {
        out.write(
            ("HTTP/1.1 503 S\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        return true;
      }
      try {
        return run(attempt, out);
      } finally {
        slots.give();
      }
    }

    private boolean run(String attempt, OutputStream out) throws Exception {
      int number = Integer.parseInt(attempt.substring(1));
      stage.record.add(id, "runs " + attempt);
      sending.add(number);
      out.write(
          ("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: s." + id + "."
                  + attempt + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
                  + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      for (int n = 1; n <= EVENTS; n++) {
        Thread.sleep(PAUSE_MS);
        String event = "id: " + n + "\ndata: word" + n + "\n\n";
        out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
        out.flush();
      }
      out.write("0\r\n\r\n".getBytes());
      out.flush();
      sending.remove(number);
      return true;
    }

    void crash() {
      stage.record.add(id, "crashes while it sends " + sending);
      down = true;
      server.close();
      Http.thread(
          () -> {
            try {
              Thread.sleep(3600);
            } catch (InterruptedException e) {
              return;
            }
            stage.kv.delete("servers/" + id);
          });
    }
  }

  /** Asks for a stream and reads the answer as HTTP/1.1 says. */
  private static void ask(Stage stage, int n, AtomicInteger whole, AtomicInteger wrong) {
    Host host = stage.hosts.get(n % 2);
    String end;
    String text = "";
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host.ip, 8689), 1000);
      socket.setSoTimeout(6000);
      socket
          .getOutputStream()
          .write(
              ("POST /q/" + n + " HTTP/1.1\r\nHost: api.example\r\nApi-Key: k1\r\nX-Attempt-Id: a"
                      + n + "\r\nX-Time-Budget-Ms: 5000\r\nX-Model: m\r\nX-Token-Usage: 450,180\r\n"
                      + "X-Prompt-Prefix: 5c1e07a2:100," + Integer.toHexString(0x100000 + n)
                      + ":250\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")
                  .getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      ByteArrayOutputStream got = new ByteArrayOutputStream();
      byte[] buffer = new byte[8192];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        got.write(buffer, 0, count);
      }
      text = got.toString(StandardCharsets.ISO_8859_1);
      // The channel has been closed in order: what delimits the body?
      int bodyAt = text.indexOf("\r\n\r\n") + 4;
      String head = text.substring(0, Math.max(0, bodyAt)).toLowerCase();
      if (bodyAt < 4) {
        end = "closed without an answer";
      } else if (head.contains("transfer-encoding: chunked")) {
        end = text.endsWith("0\r\n\r\n") ? "complete" : "broken off";
      } else if (head.contains("content-length:")) {
        int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
        end = text.length() - bodyAt == length ? "complete" : "broken off";
      } else {
        end = "complete";
      }
    } catch (SocketTimeoutException e) {
      end = "timed out";
    } catch (IOException e) {
      end = "reset";
    }
    int status = text.length() > 12 ? Integer.parseInt(text.substring(9, 12)) : 0;
    int events = text.split("id: ", -1).length - 1;
    boolean looksComplete = status == 200 && end.equals("complete");
    whole.addAndGet(looksComplete && events == EVENTS ? 1 : 0);
    wrong.addAndGet(looksComplete && events < EVENTS ? 1 : 0);
    stage.record.add(
        "client",
        "a" + n + " at " + host.name + ": status " + status + ", " + events + " of " + EVENTS
            + " events, " + end);
  }

  public static void main(String[] args) throws Exception {
    try (Stage stage = new Stage(Path.of(args[0]))) {
      stage.kv.put(
          "op/config",
          """
          {"version":7,"routes":[
            {"name":"r-match","host":"api.example","pathPrefix":"/q/","kind":"streaming",
             "timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"model",
             "maxAttempts":1,"public":false,"sessionAffinity":true,"resumable":false,
             "gapTargetMs":200}],
           "services":[{"name":"model","healthPath":"/healthz","maxConns":370,
                        "engine":{"slots":8,"kvCapacityTokens":119655}}],
           "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                     "idleTimeoutMs":15000},
           "tenants":[{"name":"kaje80","apiKeys":["k1"],"priority":1,"ratePerS":25,"burst":25}]}
          """);
      List<CrashingEngine> engines = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        engines.add(new CrashingEngine("i-" + i, stage));
      }
      stage.addHost("edge-a-1", true);
      stage.addHost("edge-a-2", true);
      stage.addHost("storage-a-1", false);
      stage.start();
      AtomicInteger whole = new AtomicInteger();
      AtomicInteger wrong = new AtomicInteger();
      List<Thread> clients = new ArrayList<>();
      boolean crashed = !Stage.trouble();
      for (int n = 0; n < REQUESTS; n++) {
        int number = n;
        clients.add(Http.thread(() -> ask(stage, number, whole, wrong)));
        Thread.sleep(70);
        if (!crashed && n > REQUESTS / 2) {
          crashed = true;
          engines.stream()
              .max((a, b) -> a.sending.size() - b.sending.size())
              .get()
              .crash();
        }
      }
      for (Thread client : clients) {
        client.join();
      }
      String text =
          wrong + " of " + REQUESTS + " streams end as complete before their last event; " + whole
              + " are whole";
      stage.record.add("case", text);
      stage.require(whole.get() > REQUESTS / 2, "most streams fail: " + text);
      System.out.println((wrong.get() > 0 ? "broken: " : "held: ") + text);
      stage.end(wrong.get() > 0 ? 1 : 0);
    }
  }
}
