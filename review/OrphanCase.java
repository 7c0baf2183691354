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
 * One process that runs batch jobs is killed and comes back. While the others take its jobs over,
 * the store is slow and then, for less than any lease, down. Afterwards nothing is disturbed.
 */
public final class OrphanCase {
  private static final int JOBS = 9;
  private static final int ITEMS = 10;
  private static final int EVENTS = 150;
  private static final int ENGINES = 6;
  private static final int SLOTS = 8;

  /** From the kill on: when the store becomes slow, and for how long at most. */
  private static final double SLOW_AFTER_SECONDS = 0.5;

  private static final double SLOW_SECONDS = 4.5;

  /** The store goes down so long after the first job has been taken over, and for so long. */
  private static final double DOWN_AFTER_SECONDS = 0.1;

  private static final double DOWN_SECONDS = 1.8;
  private static final double FINISH_SECONDS = 18;
  private static final double PATIENCE_SECONDS = 40;

  public static void main(String[] arguments) throws Exception {
    String trouble = System.getenv("TROUBLE");
    int status = 2;
    try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
      status = run(fleet, !"0".equals(trouble), "kill".equals(trouble));
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Fleet fleet, boolean trouble, boolean onlyKill) throws Exception {
    fleet.configure(1, List.of(Fleet.batchRoute()), 0, 0);
    for (int i = 0; i < ENGINES; i++) {
      fleet.addEngine("engine-" + i, SLOTS, 20, path -> EVENTS);
    }
    List<NodeProcess> fronts = fleet.addSite();
    fleet.startNodes();
    fleet.awaitReady(Duration.ofSeconds(45));
    Thread.sleep(4000);

    Map<NodeProcess, Integer> accepted = new HashMap<>();
    Set<String> jobs = new HashSet<>();
    Random random = new Random(1);
    for (int j = 0; j < JOBS; j++) {
      String job = "job" + j + "-" + ProcessHandle.current().pid();
      List<String> paths = new ArrayList<>();
      for (int i = 0; i < ITEMS; i++) {
        paths.add("/drafts/x" + i);
      }
      NodeProcess front = fronts.get(random.nextInt(fronts.size()));
      if (!fleet.submit(job, paths, 0, List.of(front))) {
        return 2;
      }
      accepted.merge(front, 1, Integer::sum);
      jobs.add(job);
      Thread.sleep(300);
    }
    double lastSubmission = fleet.record.seconds();
    if (trouble) {
      NodeProcess runner =
          fronts.stream()
              .max((a, b) -> accepted.getOrDefault(a, 0) - accepted.getOrDefault(b, 0))
              .get();
      runner.kill();
      fleet.record.write("platform: killed %s", runner.name());
      if (!onlyKill) {
        fleet.store.setFaults(new SlowThenDown(fleet.record, runner.name()));
      }
      Thread.sleep(500);
      runner.start();
    }
    int lost = awaitResults(fleet, fronts.get(8), jobs, lastSubmission);
    fleet.record.write("result: %d items of accepted jobs are lost", lost);
    return lost > 0 ? 1 : 0;
  }

  /** The store is slow, and refuses all calls for some time once a job has been taken over. */
  private static final class SlowThenDown implements KvStandIn.Faults {
    private final Recorder record;
    private final String runner;
    private final double slowFrom;
    private double downFrom = Double.MAX_VALUE;

    SlowThenDown(Recorder record, String runner) {
      this.record = record;
      this.runner = runner;
      this.slowFrom = record.seconds() + SLOW_AFTER_SECONDS;
    }

    @Override
    public synchronized KvStandIn.Treatment treat(
        String caller, String method, String target, String body) {
      double now = record.seconds();
      boolean claim =
          target.equals("/kv-txn")
              && body.contains("\"key\":\"runners/")
              && !body.contains("\"key\":\"items/");
      if (claim && downFrom == Double.MAX_VALUE) {
        downFrom = now + DOWN_AFTER_SECONDS;
        record.write("store: %s takes over the first job; down in 0.1 s", caller);
      }
      if (now >= downFrom) {
        return now < downFrom + DOWN_SECONDS
            ? KvStandIn.Treatment.REFUSE
            : KvStandIn.Treatment.SERVE;
      }
      return now >= slowFrom && now < slowFrom + SLOW_SECONDS
          ? KvStandIn.Treatment.SLOW
          : KvStandIn.Treatment.SERVE;
    }
  }

  /** Returns the number of items that are lost by the rule; waits until all are listed at most. */
  private static int awaitResults(
      Fleet fleet, NodeProcess reader, Set<String> jobs, double lastSubmission)
      throws InterruptedException {
    int lost;
    int open;
    do {
      Thread.sleep(1000);
      lost = 0;
      open = 0;
      for (String job : jobs) {
        List<JsonNode> results = fleet.readAll(reader, job);
        int missing = results == null ? 0 : ITEMS - results.size();
        open += missing;
        lost += missing > 0 && isCalm(fleet, job, lastSubmission) ? missing : 0;
      }
      fleet.record.write("client: %d items are open, %d lost by the rule", open, lost);
    } while (open > 0 && fleet.record.seconds() < lastSubmission + PATIENCE_SECONDS);
    return lost;
  }

  /**
   * Returns whether an open item of a job counts: finishS is over, in the last 5 s no engine had an
   * item of it and the engines were under half full, and no item was finished in the last 3 s.
   */
  private static boolean isCalm(Fleet fleet, String job, double lastSubmission) {
    double now = fleet.record.seconds();
    int busy = 0;
    for (EngineStandIn engine : fleet.engines) {
      for (EngineStandIn.Run run : engine.runs()) {
        if (run.finishedWithin(now - 3, now)
            || run.overlaps(now - 5, now) && run.id().startsWith(job + "-")) {
          return false;
        }
        busy += run.overlaps(now - 5, now) ? 1 : 0;
      }
    }
    return now > lastSubmission + FINISH_SECONDS && busy < ENGINES * SLOTS / 2;
  }
}
