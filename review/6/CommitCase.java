import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A batch job of 128 items whose texts are in Japanese. The store is down for 4.5 s while most of
 * the items are finished. Afterwards the results have to be listed.
 */
final class CommitCase {
  private static final String KEY = "k1";
  private static final int ITEMS = 128;
  private static final String JOB = "7c41e09b52d6a3f8";

  private CommitCase() {}

  /** Returns 18 characters of three bytes each: with the mean size of an event, 55 bytes. */
  private static String data(int n) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 18; i++) {
      text.append((char) (0x3041 + (n * 7 + i * 3) % 80));
    }
    return text.toString();
  }

  /** Returns from 150 to 277 events, by the number of the item. */
  private static int events(int item) {
    return 150 + item;
  }

  private static String id(int item) {
    return String.format("e5b2907c14da%04x", item);
  }

  private static String text(int item) {
    List<String> lines = new ArrayList<>();
    for (int n = 1; n <= events(item); n++) {
      lines.add(data(n));
    }
    return String.join("\n", lines);
  }

  public static void main(String[] args) throws Exception {
    try (Stage stage = new Stage(Path.of(args[0]))) {
      stage.kv.put(
          "op/config",
          """
          {"version":7,"routes":[
            {"name":"r-draft","host":"api.example","pathPrefix":"/drafts/","kind":"batch",
             "timeoutMs":15000,"targetLatencyMs":400,"completionTargetMs":18000,"queueTtlS":60,
             "cap":940000,"priority":2,"service":"model","maxAttempts":3,"public":false,
             "sessionAffinity":true,"resumable":true,"gapTargetMs":200}],
           "services":[{"name":"model","healthPath":"/healthz","maxConns":370,
                        "engine":{"slots":8,"kvCapacityTokens":119655}}],
           "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                     "idleTimeoutMs":15000},
           "tenants":[{"name":"kaje80","apiKeys":["k1"],"priority":1,"ratePerS":25,"burst":25}]}
          """);
      stage.addEngines(
          16,
          8,
          request -> {
            int item = Integer.parseInt(request.header("X-Attempt-Id").substring(12), 16);
            return new Engine.Output(events(item), 19, CommitCase::data);
          });
      stage.addHost("edge-a-1", true);
      stage.addHost("edge-a-2", true);
      stage.addHost("storage-a-1", false);
      stage.start();

      List<Object> items = new ArrayList<>();
      for (int i = 0; i < ITEMS; i++) {
        items.add(
            Map.of(
                "id", id(i),
                "path", "/drafts/3/" + i,
                "headers",
                    Map.of(
                        "X-Model", "m",
                        "X-Token-Usage", "350,1400",
                        "X-Prompt-Prefix", "9c2e41:100," + Integer.toHexString(0x5d0000 + i) + ":250"),
                "body", "q83vEjRWeJA=",
                "tokens", 1750));
      }
      Host first = stage.hosts.get(0);
      Http.Message accepted =
          stage.call(
              first,
              "POST",
              "/drafts/" + JOB,
              KEY,
              Map.of("X-Attempt-Id", JOB, "Content-Type", "application/json"),
              Json.write(Map.of("items", items)),
              4000);
      stage.record.add("client", "batch job " + JOB + " answered " + accepted.status());
      stage.require(accepted.status() == 202, "the batch job is not accepted");
      Thread.sleep(1500);
      if (Stage.trouble()) {
        stage.kv.setMode(Kv.Mode.BUSY);
      }
      Thread.sleep(4500);
      stage.kv.setMode(Kv.Mode.SERVES);

      // Reads about twice a second, for finishS after the store is back.
      Set<String> listed = new HashSet<>();
      int wrong = 0;
      int position = 0;
      int reads = 0;
      long total = -1;
      long until = stage.record.millis() + 18_000 + 5_000;
      while (stage.record.millis() < until && listed.size() < ITEMS) {
        Host reader = stage.hosts.get(reads++ % 2);
        try {
          Http.Message page =
              stage.call(
                  reader, "GET", "/lots/" + JOB + "?after=" + position, KEY,
                  Map.of("X-Wait-Ms", "1000"), "", 4000);
          if (page.status() == 200) {
            Map<String, Object> json = Json.object(page.text());
            total = Json.number(json.get("total"));
            for (Object r : Json.list(json.get("results"))) {
              String id = (String) Json.map(r).get("id");
              int item = Integer.parseInt(id.substring(12), 16);
              boolean whole =
                  "completed".equals(Json.map(r).get("state"))
                      && text(item).equals(Json.map(r).get("text"));
              wrong += whole ? 0 : 1;
              listed.add(id);
              position++;
            }
            stage.record.add(
                "client",
                reader.name + ": " + position + " of " + total + " listed, page of "
                    + page.body().length + " bytes");
          } else {
            stage.record.add("client", reader.name + ": answered " + page.status());
          }
        } catch (java.io.IOException e) {
          stage.record.add("client", reader.name + ": " + e);
        }
        Thread.sleep(500);
      }
      int busy = stage.engines.stream().mapToInt(Engine::running).sum();
      long runs = stage.engines.stream().mapToLong(e -> e.runs.get()).sum();
      stage.record.add(
          "case",
          listed.size() + " of " + ITEMS + " items listed, " + wrong + " wrong; engines: " + runs
              + " runs, " + busy + " now; the store refused " + stage.kv.refusals.size()
              + " writes");
      boolean kept = listed.size() == ITEMS && wrong == 0;
      stage.require(
          kept || stage.awaitIdleEngines(1000), "engines had work of the job in the last 5 s");
      System.out.println(
          (kept ? "held: " : "broken: ") + listed.size() + " of " + ITEMS + " items listed");
      stage.end(kept ? 0 : 1);
    }
  }
}
