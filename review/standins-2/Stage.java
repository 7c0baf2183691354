import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/** A small deployment on loopback: the store, engines and processes of the project. */
final class Stage implements AutoCloseable {
  static final String HOST = "api.example";

  final Path root = Path.of("").toAbsolutePath();
  final Path folder;
  final Record record;
  final Kv kv;
  final List<Engine> engines = new ArrayList<>();
  final List<Host> hosts = new ArrayList<>();
  private final String network;

  Stage(Path caseFolder) throws Exception {
    folder = Files.createTempDirectory("review-2-");
    record = new Record(caseFolder.resolve("record.txt"));
    kv = new Kv(record);
    long pid = ProcessHandle.current().pid();
    network = "127." + (130 + pid / 250 % 100) + "." + pid % 250 + ".";
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  Host addHost(String name, boolean edge) throws Exception {
    Host host =
        new Host(
            name,
            network + (10 + hosts.size()),
            kv.addressFor(name),
            edge,
            root,
            folder,
            record);
    hosts.add(host);
    return host;
  }

  void addEngines(int count, int slots, Engine.Model model) throws Exception {
    for (int i = 0; i < count; i++) {
      engines.add(new Engine("i-" + engines.size(), slots, kv, record, model));
    }
  }

  /** Starts all hosts and waits until those that serve callers are ready. */
  void start() throws Exception {
    for (Host host : hosts) {
      host.start();
    }
    for (Host host : hosts) {
      if (host.name.startsWith("edge")) {
        require(await(45_000, host::isReady), host.name + " does not become ready");
      }
    }
    Thread.sleep(2000);
  }

  /**
   * Waits until the condition of the rule LOST for batch jobs holds, at most as long as given: no
   * engine has a run, none has had one for 5 s. Returns whether it holds.
   */
  boolean awaitIdleEngines(long millis) throws Exception {
    return await(
        millis,
        () ->
            engines.stream()
                .allMatch(e -> e.running() == 0 && e.endedAt() <= record.millis() - 5000));
  }

  /** Ends the case as one that could not run. */
  void require(boolean holds, String problem) {
    if (!holds) {
      record.add("case", "COULD NOT RUN: " + problem);
      System.out.println("could not run: " + problem);
      end(2);
    }
  }

  void end(int status) {
    record.add("case", "exit " + status);
    close();
    Runtime.getRuntime().halt(status);
  }

  static boolean await(long millis, Callable<Boolean> condition) throws Exception {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      if (condition.call()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  Http.Message call(
      Host host, String method, String target, String key, Map<String, String> more, String body,
      int timeoutMillis)
      throws Exception {
    Map<String, String> headers = new java.util.LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Api-Key", key);
    headers.putAll(more);
    return Http.call(
        host.front(),
        method,
        target,
        headers,
        body.getBytes(java.nio.charset.StandardCharsets.UTF_8),
        timeoutMillis);
  }

  @Override
  public synchronized void close() {
    hosts.forEach(Host::close);
    engines.forEach(Engine::close);
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      } catch (Exception e) {
        // The folder is gone already.
      }
    }
  }
}
