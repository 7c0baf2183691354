import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A host runs a batch job of each of two tenants and is suspended for three seconds at most.
 * Meanwhile the first tenant reads its job at another host, which is killed and starts again, and
 * the second tenant reads its own job there.
 */
public final class ForeignPageCase {
  /** The longest suspension; the lease of a host's entry is 3 s. */
  private static final double MAX_SUSPENDED_SECONDS = 3.0;

  /** How often the case is tried if the other host starts too slowly on this machine. */
  private static final int MAX_ATTEMPTS = 4;

  /** The short delay after which the platform starts a killed process again. */
  private static final long RESTART_MILLIS = 300;

  private static final int TOO_LATE = -1;

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
      fleet.addEngine("engine-" + i, 8, 20, ForeignPageCase::events);
    }
    List<NodeProcess> fronts = fleet.addSite();
    fleet.startNodes();
    fleet.awaitReady(Duration.ofSeconds(45));
    Thread.sleep(4000);

    // All hosts are connected to the three that registered first; the first coordinates.
    List<String> order =
        fleet.store.keysByCreation("fleet/hosts/").stream()
            .map(k -> k.substring("fleet/hosts/".length(), k.lastIndexOf('@')))
            .toList();
    NodeProcess runner =
        fronts.stream()
            .filter(f -> order.subList(1, 3).contains(f.name()))
            .findFirst()
            .orElse(fronts.get(1));
    NodeProcess reader =
        fronts.stream()
            .filter(f -> !order.subList(0, 3).contains(f.name()))
            .findFirst()
            .orElse(fronts.get(0));
    fleet.record.write("platform: registered in the order %s", order);
    for (int n = 1; n <= MAX_ATTEMPTS; n++) {
      int foreign = attempt(fleet, reader, runner, n, trouble);
      fleet.record.write("result: %d foreign results", foreign);
      if (foreign != TOO_LATE) {
        return foreign > 0 ? 1 : 0;
      }
      reader.kill();
      Thread.sleep(RESTART_MILLIS);
      reader.start();
      fleet.awaitReady(Duration.ofSeconds(45));
      Thread.sleep(3000);
    }
    return 2;
  }

  /** Returns the number of foreign results, or that the other host started too late for the case. */
  private static int attempt(
      Fleet fleet, NodeProcess reader, NodeProcess runner, int n, boolean trouble)
      throws Exception {
    String one = "one-" + n + "-" + ProcessHandle.current().pid();
    String two = "two-" + n + "-" + ProcessHandle.current().pid();
    if (!fleet.submitAs(Fleet.OTHER_KEY, two, paths(3, 390), 0, List.of(runner))) {
      throw new IllegalStateException("a job was not accepted");
    }
    Thread.sleep(500);
    if (!fleet.submit(one, paths(3, 100), 0, List.of(runner))) {
      throw new IllegalStateException("a job was not accepted");
    }
    Watch watch = new Watch(runner.name(), reader.name());
    fleet.store.setFaults(watch);
    if (trouble) {
      watch.renewed.await(3, TimeUnit.SECONDS);
      Thread.sleep(50);
      runner.signal("STOP");
    }
    double stoppedAt = fleet.record.seconds();
    CompletableFuture<Fleet.Answer> first =
        CompletableFuture.supplyAsync(() -> read(fleet, Fleet.KEY, reader, one));
    Thread.sleep(150);
    CompletableFuture<Boolean> inTime = CompletableFuture.completedFuture(true);
    if (trouble) {
      reader.kill();
      fleet.record.write("platform: killed %s", reader.name());
      Thread.sleep(RESTART_MILLIS);
      reader.start();
      inTime =
          CompletableFuture.supplyAsync(
              () -> resume(fleet, runner, watch.looksUp(two), stoppedAt));
    }
    first.join();

    int foreign = 0;
    double until = fleet.record.seconds() + 6;
    while (fleet.record.seconds() < until) {
      Fleet.Answer answer = read(fleet, Fleet.OTHER_KEY, reader, two);
      if (answer.status() == 200) {
        foreign += countForeign(fleet, two, answer.json());
      }
      Thread.sleep(answer.status() == 0 ? 20 : 500);
    }
    return foreign == 0 && !inTime.join() ? TOO_LATE : foreign;
  }

  /** Ends the suspension shortly after the second job has been looked up, or when it is due. */
  private static boolean resume(
      Fleet fleet, NodeProcess runner, CountDownLatch lookedUp, double stoppedAt) {
    try {
      double left = stoppedAt + MAX_SUSPENDED_SECONDS - fleet.record.seconds();
      boolean inTime = lookedUp.await((long) (left * 1000), TimeUnit.MILLISECONDS);
      Thread.sleep(inTime ? 100 : 0);
      runner.signal("CONT");
      if (!inTime) {
        fleet.record.write("the other host started too late for the case");
      }
      return inTime;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sees when the suspended host renews its lease and when the other one looks a job up. */
  private static final class Watch implements KvStandIn.Faults {
    private final CountDownLatch renewed = new CountDownLatch(1);
    private final Map<String, CountDownLatch> lookups = new ConcurrentHashMap<>();
    private final String runner;
    private final String reader;

    Watch(String runner, String reader) {
      this.runner = runner;
      this.reader = reader;
    }

    CountDownLatch looksUp(String job) {
      return lookups.computeIfAbsent(job, j -> new CountDownLatch(1));
    }

    @Override
    public KvStandIn.Treatment treat(String caller, String method, String target, String body) {
      if (caller.equals(runner) && target.startsWith("/kv-keep/")) {
        renewed.countDown();
      }
      if (caller.equals(reader) && target.startsWith("/kv-key?key=jobs/")) {
        looksUp(target.substring(target.lastIndexOf('/') + 1)).countDown();
      }
      return KvStandIn.Treatment.SERVE;
    }
  }

  private static Fleet.Answer read(Fleet fleet, String key, NodeProcess node, String job) {
    Fleet.Answer answer =
        fleet.callAs(key, node, "GET", "/lots/" + job + "?after=0", null, "X-Wait-Ms", "1000");
    if (answer.status() != 0) {
      fleet.record.write(
          "client: read of %s at %s: %d %s", job, node.name(), answer.status(), answer.body());
    }
    return answer;
  }

  private static int countForeign(Fleet fleet, String job, JsonNode page) {
    int foreign = 0;
    for (JsonNode result : page.path("results")) {
      String item = result.path("id").asText();
      if (!item.startsWith(job + "-")) {
        fleet.record.write("check: the results of %s name %s, an item of another job", job, item);
        foreign++;
      }
    }
    return foreign;
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
