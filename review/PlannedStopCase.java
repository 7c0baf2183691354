import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A host gets SIGTERM while clients that still have its address send it streams. Each stream takes
 * four seconds, within its route's time and with pauses that are on time.
 */
public final class PlannedStopCase {
  private static final int EVENTS = 36;
  private static final long GAP_MILLIS = 110;
  private static final double GRACE_SECONDS = 8;

  /** The route's time and the client's. */
  private static final double TIME_LIMIT_SECONDS = 5;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
      status = run(fleet, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  private static ObjectNode streamRoute() {
    return Json.object()
        .put("name", "queries")
        .put("host", Fleet.HOST)
        .put("pathPrefix", "/queries/")
        .put("kind", "streaming")
        .put("service", Fleet.SERVICE)
        .put("timeoutMs", 5000)
        .put("targetLatencyMs", 300)
        .put("gapTargetMs", 200)
        .put("maxAttempts", 1)
        .put("public", false)
        .put("sessionAffinity", true)
        .put("resumable", false)
        .put("priority", 0);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    fleet.configure(1, List.of(streamRoute()), 0, 0);
    for (int i = 0; i < 3; i++) {
      fleet.addEngine("engine-" + i, 8, GAP_MILLIS, path -> EVENTS);
    }
    fleet.addNode("worker-1", "worker");
    NodeProcess stopped = fleet.addNode("edge-1", "node");
    NodeProcess other = fleet.addNode("edge-2", "node");
    fleet.startNodes();
    fleet.awaitReady(Duration.ofSeconds(45));
    Thread.sleep(4000);

    // Some clients keep this answer for three times its ttlS of 2 s.
    if (!fleet.resolve(other).contains(stopped.ip() + ":" + NodeProcess.FRONT)) {
      return 2;
    }
    if (trouble) {
      stopped.signal("TERM");
    }
    double from = fleet.record.seconds();
    if (trouble) {
      CompletableFuture.runAsync(() -> killAfterGrace(stopped));
    }
    Map<String, Fleet.Answer> answers = new ConcurrentHashMap<>();
    Map<String, Double> sentAt = new ConcurrentHashMap<>();
    Map<String, Double> endedAt = new ConcurrentHashMap<>();
    List<CompletableFuture<Void>> calls = new ArrayList<>();
    for (double at = 3.2; at < 4.6; at += 0.2) {
      Thread.sleep((long) Math.max(0, (from + at - fleet.record.seconds()) * 1000));
      String id = "stream-" + calls.size() + "-" + ProcessHandle.current().pid();
      fleet.record.write("client: sends %s to %s", id, stopped.name());
      sentAt.put(id, fleet.record.seconds());
      calls.add(
          CompletableFuture.runAsync(
              () -> {
                Fleet.Answer answer = ask(fleet, stopped, id);
                endedAt.put(id, fleet.record.seconds());
                answers.put(id, answer);
              }));
    }
    CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).join();
    double left = from + GRACE_SECONDS + 1 - fleet.record.seconds();
    Thread.sleep((long) Math.max(0, left * 1000));

    int lost = 0;
    for (Map.Entry<String, Fleet.Answer> entry : answers.entrySet()) {
      boolean ran =
          fleet.engines.stream()
              .flatMap(e -> e.runs().stream())
              .anyMatch(r -> r.id().equals(entry.getKey()));
      double sent = sentAt.get(entry.getKey());
      double ended = endedAt.get(entry.getKey());
      boolean counts =
          sent > from + 3
              && ended < sent + TIME_LIMIT_SECONDS
              && ended < from + GRACE_SECONDS + 1;
      if (entry.getValue().status() == 0 && ran && counts) {
        fleet.record.write("check: %s was passed on and its answer is incomplete", entry.getKey());
        lost++;
      }
    }
    fleet.record.write("result: %d of %d requests lost", lost, answers.size());
    return lost > 0 ? 1 : 0;
  }

  private static void killAfterGrace(NodeProcess node) {
    try {
      Thread.sleep((long) (GRACE_SECONDS * 1000));
      node.kill();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Fleet.Answer ask(Fleet fleet, NodeProcess node, String id) {
    Fleet.Answer answer =
        fleet.call(
            node,
            "POST",
            "/queries/x",
            "q",
            "X-Attempt-Id",
            id,
            "X-Time-Budget-Ms",
            "5000",
            "X-Model",
            "m",
            "X-Token-Usage",
            "450,36",
            "X-Prompt-Prefix",
            "5c1e07a2:200," + Integer.toHexString(id.hashCode()) + ":250");
    boolean whole = answer.status() == 200 && answer.body().contains("id: " + EVENTS + "\n");
    fleet.record.write(
        "client: %s ends: %s", id, whole ? "200, whole" : answer.status() + " " + answer.body());
    return answer;
  }
}
