import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Batch jobs run while the store leaves part of the writes unanswered and does them 1 to 6 s
 * later if their conditions still hold. At the end all processes are killed and started again, and
 * the jobs are read from the start.
 */
public final class LateCommitCase {
  private static final int JOBS = 27;
  private static final int ITEMS = 10;

  /** Jobs come in bursts: so many within 3 s, then none for 6 s. */
  private static final int BURST_JOBS = 9;

  private static final long BURST_MILLIS = 3000;
  private static final long BURST_PAUSE_MILLIS = 6000;

  /** Part of the writes whose answers are lost, length of each disturbance and time between two. */
  private static final double LOST_PART = 0.35;

  private static final double WINDOW = 4.5;
  private static final double PERIOD = 6.5;

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

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    fleet.configure(1, List.of(Fleet.batchRoute()), 0, 0);
    for (int i = 0; i < 6; i++) {
      fleet.addEngine("engine-" + i, 8, 20, LateCommitCase::events);
    }
    NodeProcess worker = fleet.addNode("worker-1", "worker");
    List<NodeProcess> fronts = List.of(fleet.addNode("edge-1", "node"), fleet.addNode("edge-2", "node"));
    fleet.startNodes();
    fleet.awaitReady(Duration.ofSeconds(45));
    Thread.sleep(2000);

    double from = fleet.record.seconds() + 1;
    Random random = new Random(7);
    if (trouble) {
      fleet.store.setFaults(
          new KvStandIn.Faults() {
            @Override
            public synchronized KvStandIn.Treatment treat(
                String caller, String method, String target, String body) {
              double now = fleet.record.seconds();
              boolean lost =
                  target.equals("/kv-txn")
                      && now >= from
                      && (now - from) % PERIOD < WINDOW
                      && random.nextDouble() < LOST_PART;
              return lost ? KvStandIn.Treatment.DO_LATE : KvStandIn.Treatment.SERVE;
            }

            @Override
            public synchronized long lateMillis() {
              return 1000 + random.nextInt(5000);
            }
          });
    }
    List<String> jobs = new ArrayList<>();
    for (int j = 0; j < JOBS; j++) {
      String job = "job" + j + "-" + ProcessHandle.current().pid();
      List<String> paths = new ArrayList<>();
      for (int i = 0; i < ITEMS; i++) {
        paths.add("/drafts/" + (20 + (i * 97 + j * 31) % 200) + "/" + job);
      }
      if (!fleet.submit(job, paths, j, fronts)) {
        fleet.record.write("client: %s was not accepted", job);
        return 2;
      }
      jobs.add(job);
      Thread.sleep(j % BURST_JOBS == BURST_JOBS - 1 ? BURST_PAUSE_MILLIS : BURST_MILLIS / BURST_JOBS);
    }
    awaitResults(fleet, fronts, jobs);
    fleet.store.setFaults((caller, method, target, body) -> KvStandIn.Treatment.SERVE);
    Thread.sleep(6500);

    int broken = 0;
    Map<String, List<String>> before = new HashMap<>();
    for (String job : jobs) {
      List<String> listed = items(fleet.readAll(fronts.get(0), job));
      broken += check(fleet, job, listed, listed);
      before.put(job, listed);
    }
    if (trouble) {
      for (NodeProcess node : fleet.nodes) {
        node.kill();
      }
      fleet.record.write("platform: killed all processes");
      Thread.sleep(600);
      fleet.startNodes();
      fleet.awaitReady(Duration.ofSeconds(45));
    }
    for (String job : jobs) {
      broken += check(fleet, job, before.get(job), items(fleet.readAll(fronts.get(0), job)));
    }
    fleet.record.write("result: %d items stand twice or positions changed", broken);
    return broken > 0 ? 1 : 0;
  }

  private static List<String> items(List<JsonNode> results) {
    return results == null
        ? List.of()
        : results.stream().map(r -> r.path("id").asText()).toList();
  }

  static int events(String path) {
    return Integer.parseInt(path.split("/")[2]);
  }

  private static void awaitResults(Fleet fleet, List<NodeProcess> fronts, List<String> jobs)
      throws InterruptedException {
    long until = System.nanoTime() + Duration.ofSeconds(35).toNanos();
    for (String job : jobs) {
      while (System.nanoTime() < until) {
        List<JsonNode> results = fleet.readAll(fronts.get(1), job);
        if (results != null && results.size() >= ITEMS) {
          break;
        }
        Thread.sleep(400);
      }
    }
  }

  /** Counts the items at a second position, and the positions that hold another result. */
  private static int check(Fleet fleet, String job, List<String> before, List<String> listed) {
    int broken = 0;
    Set<String> seen = new HashSet<>();
    for (int position = 0; position < listed.size(); position++) {
      String item = listed.get(position);
      if (!seen.add(item)) {
        fleet.record.write("check: %s stands twice in %s, again at %d", item, job, position);
        broken++;
      }
      if (position < before.size() && !before.get(position).equals(item)) {
        fleet.record.write(
            "check: position %d of %s held %s and holds %s",
            position, job, before.get(position), item);
        broken++;
      }
    }
    return broken;
  }
}
