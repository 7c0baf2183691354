import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A client ends a batch job whose items wait for slots. The store does what the host writes for it,
 * and the answer to that one write is lost. The client gets 200. Later the slots become free.
 */
public final class EndLostCase {
  private static final double CANCEL_SECONDS = 3.0;

  /** So long after the lost answer all machines are in touch again. */
  private static final double CONTACT_SECONDS = 3.0;

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
    for (int i = 0; i < 2; i++) {
      fleet.addEngine("engine-" + i, 2, 25, EndLostCase::events);
    }
    fleet.addNode("worker-1", "worker");
    List<NodeProcess> fronts = List.of(fleet.addNode("edge-1", "node"), fleet.addNode("edge-2", "node"));
    fleet.startNodes();
    fleet.awaitReady(Duration.ofSeconds(45));
    Thread.sleep(3000);

    String first = "first-" + ProcessHandle.current().pid();
    String ended = "ended-" + ProcessHandle.current().pid();
    if (!fleet.submit(first, paths(4, 390), 0, fronts)) {
      return 2;
    }
    Thread.sleep(500);
    if (!fleet.submit(ended, paths(6, 100), 0, fronts)) {
      return 2;
    }
    Thread.sleep(1000);
    LoseOneEnd faults = new LoseOneEnd(ended, fleet.record);
    if (trouble) {
      fleet.store.setFaults(faults);
    }
    Fleet.Answer answer = fleet.call(fronts.get(1), "DELETE", "/lots/" + ended, null);
    double acknowledged = fleet.record.seconds();
    fleet.record.write("client: end of %s: %d", ended, answer.status());
    if (answer.status() != 200) {
      return 2;
    }
    Thread.sleep(17000);

    int late = 0;
    for (EngineStandIn engine : fleet.engines) {
      for (EngineStandIn.Run run : engine.runs()) {
        if (run.id().startsWith(ended) && run.at() > acknowledged + CANCEL_SECONDS
            && run.at() > faults.lostAt + CONTACT_SECONDS) {
          fleet.record.write(
              "check: %s runs on %s %.1f s after the end of its job was acknowledged",
              run.id(), run.engine(), run.at() - acknowledged);
          late++;
        }
      }
    }
    fleet.record.write("result: %d items of an ended job ran", late);
    return late > 0 ? 1 : 0;
  }

  /** Loses the answer of the first write that ends a job. */
  private static final class LoseOneEnd implements KvStandIn.Faults {
    private final String job;
    private final Recorder record;
    private volatile double lostAt = Double.NEGATIVE_INFINITY;

    LoseOneEnd(String job, Recorder record) {
      this.job = job;
      this.record = record;
    }

    @Override
    public synchronized KvStandIn.Treatment treat(
        String caller, String method, String target, String body) {
      boolean ends = target.equals("/kv-txn") && body.contains("\"remove\":[\"runners/" + job);
      if (!ends || lostAt > 0) {
        return KvStandIn.Treatment.SERVE;
      }
      lostAt = record.seconds();
      return KvStandIn.Treatment.LOSE_ANSWER;
    }
  }

  private static int events(String path) {
    return Integer.parseInt(path.split("/")[2]);
  }

  private static List<String> paths(int items, int events) {
    List<String> paths = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      paths.add("/drafts/" + events + "/x" + i);
    }
    return paths;
  }
}
