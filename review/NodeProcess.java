import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command of its role in the deploy file. */
final class NodeProcess implements AutoCloseable {
  static final int FRONT = 18689;
  static final int READY = 18687;
  static final int DIRECTORY = 18682;

  private final String name;
  private final String ip;
  private final List<String> command;
  private final Path settings;
  private final Path log;
  private final Recorder record;
  private Process process;

  /**
   * Creates a process that is not started.
   *
   * @param role the role in the deploy file: node or worker
   */
  NodeProcess(String name, String role, String ip, String store, Path folder, Recorder record)
      throws IOException {
    this.name = name;
    this.ip = ip;
    this.record = record;
    this.command = commandOf(role);
    this.settings = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log");
    Files.writeString(settings, settingsText(name, role, ip, store));
  }

  static String commandText(String role) throws IOException {
    String file = Files.readString(Path.of("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\]\\s*\\nrun = \"([^\"]*)\"").matcher(file);
    if (!matcher.find()) {
      throw new IOException("no role " + role + " in the deploy file");
    }
    return matcher.group(1);
  }

  private static List<String> commandOf(String role) throws IOException {
    return new ArrayList<>(Arrays.asList(commandText(role).split(" ")));
  }

  private static String settingsText(String name, String role, String ip, String store) {
    boolean front = role.equals("node");
    ObjectNode root = Json.object();
    root.put("nodeName", name).put("role", role);
    root.put("machineClass", front ? "edge" : "storage");
    ArrayNode serves = root.putArray("serves");
    if (front) {
      serves.add("edge").add("directory");
    } else {
      serves.add("storage");
    }
    root.put("ip", ip).put("zone", "a").put("region", "r");
    root.putObject("zones").put("a", "r");
    ObjectNode listen = root.putObject("listen");
    if (front) {
      listen.put("front", ip + ":" + FRONT);
      listen.put("ready", ip + ":" + READY);
      listen.put("directory", ip + ":" + DIRECTORY);
    }
    root.putArray("internalPortRange").add(17360).add(17375);
    root.putArray("seeds");
    root.put("bootstrap", true).put("inFaultBudget", !front);
    root.putObject("limits").put("memoryMb", 430).put("maxFds", 4100);
    root.putNull("dataDir");
    root.put("discovery", "platform").put("entry", "directory").put("heartbeatMs", 1200);
    ObjectNode bounds = root.putObject("bounds");
    bounds.put("contactMs", 3000).put("ackMs", 4000).put("drainMs", 2000).put("graceS", 8);
    bounds.put("configApplyMs", 2000).put("revokeMs", 5000).put("strictRevoke", true);
    bounds.put("quotaWindowS", 5).put("quotaOverage", 0.1).put("quotaSlack", 20);
    bounds.put("finishS", 18).put("statusS", 120).put("cancelMs", 3000).put("settleMs", 1000);
    ObjectNode platform = root.putObject("platform");
    platform.put("address", store).put("form", "kv").put("writesPerS", 400);
    platform.put("readsPerS", 2000).put("historyS", 20).put("valueBytes", 1048576);
    platform.put("minTtlMs", 1000);
    return root.toPrettyString();
  }

  String name() {
    return name;
  }

  String ip() {
    return ip;
  }

  String frontUrl() {
    return "http://" + ip + ":" + FRONT;
  }

  String directoryUrl() {
    return "http://" + ip + ":" + DIRECTORY;
  }

  String readyUrl() {
    return "http://" + ip + ":" + READY + "/readyz";
  }

  String log() throws IOException {
    return Files.readString(log, StandardCharsets.UTF_8);
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("WAXWINGCOURSE_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    record.write("platform: started %s (process %d)", name, process.pid());
  }

  /** Sends a signal to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    record.write("platform: SIG%s to %s", signal, name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
