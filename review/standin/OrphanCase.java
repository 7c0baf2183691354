import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The process that runs many batch jobs is killed and comes back. While the others take its jobs
 * over, the store is down for less than two seconds, shorter than any lease. Afterwards nothing is disturbed.
 */
public final class OrphanCase {
  private static final int JOBS = 60;
  private static final int ITEMS = 3;
  private static final int EVENTS = 100;
  private static final double DOWN_SECONDS = 1.8;

  /** The store goes down when so many jobs have been taken over. */
  private static final int DOWN_AFTER_CLAIMS = 10;
  private static final Duration FINISH = Duration.ofSeconds(40);

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
      fleet.addEngine("engine-" + i, 8, 20, path -> EVENTS);
    }
    fleet.addNode("worker-1", "worker");
    NodeProcess runner = fleet.addNode("edge-1", "node");
    NodeProcess reader = fleet.addNode("edge-2", "node");
    fleet.addNode("edge-3", "node");
    fleet.startNodes();
    fleet.awaitReady(Duration.ofSeconds(20));
    Thread.sleep(3000);

    List<String> jobs = new ArrayList<>();
    for (int j = 0; j < JOBS; j++) {
      String job = "job" + j + "-" + ProcessHandle.current().pid();
      List<String> paths = new ArrayList<>();
      for (int i = 0; i < ITEMS; i++) {
        paths.add("/drafts/x" + i);
      }
      if (!fleet.submit(job, paths, 0, List.of(runner))) {
        return 2;
      }
      jobs.add(job);
    }
    if (trouble) {
      fleet.store.setFaults(new DownDuringTakeOver(fleet.record, runner.name()));
      runner.kill();
      fleet.record.write("platform: killed %s", runner.name());
      Thread.sleep(1000);
      runner.start();
    }
    int open = awaitResults(fleet, reader, jobs);
    fleet.record.write("result: %d items of accepted jobs are not listed", open);
    return open > 0 ? 1 : 0;
  }

  /** The store refuses all calls for some time from the middle of the take-over on. */
  private static final class DownDuringTakeOver implements KvStandIn.Faults {
    private final Recorder record;
    private final String runner;
    private double downFrom = Double.MAX_VALUE;
    private int claims;
    private boolean backWritten;

    DownDuringTakeOver(Recorder record, String runner) {
      this.record = record;
      this.runner = runner;
    }

    @Override
    public synchronized KvStandIn.Treatment treat(
        String caller, String method, String target, String body) {
      double now = record.seconds();
      boolean claim =
          target.equals("/kv-txn") && body.contains("\"key\":\"runners/") && !caller.equals(runner);
      claims += claim ? 1 : 0;
      if (claims == DOWN_AFTER_CLAIMS && downFrom == Double.MAX_VALUE) {
        downFrom = now + 0.002;
        record.write("store: %s takes over job %d of %d; down in 2 ms", caller, claims, JOBS);
      }
      if (now >= downFrom && now < downFrom + DOWN_SECONDS) {
        return KvStandIn.Treatment.REFUSE;
      }
      if (now >= downFrom + DOWN_SECONDS && !backWritten) {
        backWritten = true;
        record.write("store: back");
      }
      return KvStandIn.Treatment.SERVE;
    }
  }

  /** Returns the number of items that are not listed when the time is up and the engines are idle. */
  private static int awaitResults(Fleet fleet, NodeProcess reader, List<String> jobs)
      throws InterruptedException {
    long until = System.nanoTime() + FINISH.toNanos();
    int open;
    do {
      Thread.sleep(2000);
      open = 0;
      for (String job : jobs) {
        List<JsonNode> results = fleet.readAll(reader, job);
        open += ITEMS - (results == null ? 0 : results.size());
      }
      fleet.record.write("client: %d items are open", open);
    } while (open > 0 && System.nanoTime() < until);
    return open;
  }
}
