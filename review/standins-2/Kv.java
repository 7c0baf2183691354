import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of the platform's store as PROTOCOL.md describes it. Each machine gets a port of its
 * own, by which it is known here.
 */
final class Kv {
  static final int VALUE_BYTES = 1048576;
  private static final int ENTRIES = 32;
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final long HISTORY_MS = 20_000;

  private record Item(byte[] value, long revision, long created, long lease) {}

  private record Change(long revision, String key, Item item, long at) {}

  private static final class Lease {
    private long ttl;
    private long until;
  }

  /** What the store does with a call of a machine, before it looks at it. */
  enum Mode {
    SERVES,
    /** 503. */
    BUSY,
    /** The connection is reset. */
    RESETS
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Map<String, Mode> modes = new HashMap<>();
  private final Record record;
  private long revision = 100;
  private long lastLease = 1;
  private long forgotten;
  private volatile Mode mode = Mode.SERVES;
  private boolean leasesPause = true;
  private long lastTick = now();
  final List<String> refusals = new ArrayList<>();

  Kv(Record record) {
    this.record = record;
    Http.thread(this::expire);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Opens a port for a machine; returns its address. */
  String addressFor(String machine) throws Exception {
    Http.Server server = new Http.Server("127.0.0.1", 0, (m, s, o) -> handle(machine, m, s, o));
    return "127.0.0.1:" + server.port();
  }

  /** Sets what happens to all calls of machines; leases pause while it isn't SERVES. */
  synchronized void setMode(Mode next) {
    mode = next;
    record.add("store", "mode " + next);
    notifyAll();
  }

  private void expire() {
    while (true) {
      synchronized (this) {
        long now = now();
        if (mode != Mode.SERVES && leasesPause) {
          long step = now - lastTick;
          leases.values().forEach(l -> l.until += step);
        }
        lastTick = now;
        List<Long> ended = new ArrayList<>();
        leases.forEach(
            (id, l) -> {
              if (l.until < now) {
                ended.add(id);
              }
            });
        ended.forEach(this::endLease);
        while (!history.isEmpty() && history.peekFirst().at < now - HISTORY_MS) {
          forgotten = history.pollFirst().revision;
        }
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    items.forEach(
        (k, i) -> {
          if (i.lease == id) {
            keys.add(k);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(k -> apply(k, null));
      notifyAll();
    }
  }

  private void apply(String key, Item item) {
    if (item == null) {
      items.remove(key);
    } else {
      items.put(key, item);
    }
    history.addLast(new Change(revision, key, item, now()));
  }

  /** Writes a key as the operator or an engine does. */
  synchronized void put(String key, String json) {
    revision++;
    Item before = items.get(key);
    byte[] value = json.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    apply(key, new Item(value, revision, before == null ? revision : before.created, 0));
    notifyAll();
  }

  synchronized void delete(String key) {
    if (items.containsKey(key)) {
      revision++;
      apply(key, null);
      notifyAll();
    }
  }

  synchronized String get(String key) {
    Item item = items.get(key);
    return item == null
        ? null
        : new String(item.value, java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  synchronized List<String> keys(String prefix) {
    return items.tailMap(prefix, true).keySet().stream()
        .takeWhile(k -> k.startsWith(prefix))
        .toList();
  }

  private boolean handle(String machine, Http.Message m, Socket socket, OutputStream out)
      throws Exception {
    if (mode == Mode.RESETS) {
      Http.reset(socket);
      return false;
    }
    if (mode == Mode.BUSY) {
      Http.answer(out, 503, "{}");
      return true;
    }
    Thread.sleep(4);
    Map<String, String> q = m.query();
    String path = m.path();
    if (path.equals("/kv-key")) {
      readKey(q.get("key"), out);
    } else if (path.equals("/kv-range")) {
      readRange(q.get("pathPrefix"), q.getOrDefault("after", ""), out);
    } else if (path.equals("/kv-watch")) {
      return watch(q, socket, out);
    } else if (path.equals("/kv-txn")) {
      write(machine, Json.object(m.text()), out);
    } else if (path.equals("/kv-lease")) {
      grant(Json.number(Json.object(m.text()).get("ttlMs")), out);
    } else if (path.startsWith("/kv-keep/")) {
      keep(Long.parseLong(path.substring(9)), out);
    } else if (path.startsWith("/kv-lease-end/")) {
      synchronized (this) {
        endLease(Long.parseLong(path.substring(14)));
      }
      Http.answer(out, 200, "{}");
    } else {
      Http.answer(out, 404, "{}");
    }
    return true;
  }

  private void grant(long ttl, OutputStream out) throws Exception {
    long id;
    synchronized (this) {
      id = ++lastLease;
      Lease lease = new Lease();
      lease.ttl = Math.max(1000, Math.min(600_000, ttl));
      lease.until = now() + lease.ttl;
      leases.put(id, lease);
    }
    Http.answer(out, 200, Json.write(Map.of("lease", id, "ttlMs", ttl)));
  }

  private void keep(long id, OutputStream out) throws Exception {
    long ttl;
    synchronized (this) {
      Lease lease = leases.get(id);
      ttl = lease == null ? -1 : lease.ttl;
      if (lease != null) {
        lease.until = now() + lease.ttl;
      }
    }
    Http.answer(
        out, ttl < 0 ? 404 : 200, ttl < 0 ? "{}" : Json.write(Map.of("lease", id, "ttlMs", ttl)));
  }

  private static Map<String, Object> json(String key, Item item) {
    Map<String, Object> map = new LinkedHashMap<>();
    map.put("key", key);
    map.put("value", Base64.getEncoder().encodeToString(item.value));
    map.put("revision", item.revision);
    map.put("created", item.created);
    map.put("lease", item.lease);
    return map;
  }

  private void readKey(String key, OutputStream out) throws Exception {
    Map<String, Object> answer = new LinkedHashMap<>();
    boolean found;
    synchronized (this) {
      Item item = items.get(key);
      found = item != null;
      if (found) {
        answer.putAll(json(key, item));
      }
      answer.put("asOf", revision);
    }
    Http.answer(out, found ? 200 : 404, Json.write(answer));
  }

  private void readRange(String prefix, String after, OutputStream out) throws Exception {
    Map<String, Object> answer = new LinkedHashMap<>();
    List<Object> page = new ArrayList<>();
    synchronized (this) {
      boolean more = false;
      int bytes = 0;
      for (String key : keys(prefix)) {
        if (key.compareTo(after) <= 0) {
          continue;
        }
        Item item = items.get(key);
        int size = item.value.length * 4 / 3 + 100;
        if (!page.isEmpty() && (page.size() >= PAGE_ITEMS || bytes + size > PAGE_BYTES)) {
          more = true;
          break;
        }
        bytes += size;
        page.add(json(key, item));
      }
      answer.put("items", page);
      answer.put("hasMore", more);
      answer.put("asOf", revision);
    }
    Http.answer(out, 200, Json.write(answer));
  }

  private boolean watch(Map<String, String> q, Socket socket, OutputStream out) throws Exception {
    String prefix = q.get("pathPrefix");
    long after = Long.parseLong(q.get("after"));
    long until = now() + Math.min(30_000, Long.parseLong(q.get("waitMs")));
    Map<String, Object> answer = new LinkedHashMap<>();
    List<Object> events = new ArrayList<>();
    synchronized (this) {
      while (true) {
        if (mode != Mode.SERVES) {
          Http.reset(socket);
          return false;
        }
        if (after < forgotten) {
          Http.answer(out, 410, "{}");
          return true;
        }
        for (Change c : history) {
          if (c.revision > after && c.key.startsWith(prefix)) {
            if (c.item == null) {
              Map<String, Object> gone = new LinkedHashMap<>();
              gone.put("key", c.key);
              gone.put("revision", c.revision);
              gone.put("deleted", true);
              events.add(gone);
            } else {
              events.add(json(c.key, c.item));
            }
          }
        }
        long left = until - now();
        if (!events.isEmpty() || left <= 0) {
          break;
        }
        wait(Math.min(left, 100));
      }
      answer.put("events", events);
      answer.put("asOf", revision);
    }
    Http.answer(out, 200, Json.write(answer));
    return true;
  }

  private void write(String machine, Map<String, Object> txn, OutputStream out) throws Exception {
    List<Object> expected = Json.list(txn.get("expectedRev"));
    List<Object> writes = Json.list(txn.get("writes"));
    List<Object> removes = Json.list(txn.get("remove"));
    if (expected.size() > ENTRIES || writes.size() + removes.size() > ENTRIES) {
      refuse(machine, "more than " + ENTRIES + " entries", out);
      return;
    }
    for (Object w : writes) {
      String key = (String) Json.map(w).get("key");
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        Http.answer(out, 403, "{}");
        return;
      }
      if (key.length() > 200) {
        refuse(machine, "key of " + key.length() + " bytes", out);
        return;
      }
    }
    Map<String, byte[]> values = new LinkedHashMap<>();
    for (Object w : writes) {
      String key = (String) Json.map(w).get("key");
      byte[] value = Base64.getDecoder().decode((String) Json.map(w).get("value"));
      if (value.length > VALUE_BYTES) {
        refuse(machine, "value of " + value.length + " bytes for " + key, out);
        return;
      }
      values.put(key, value);
    }
    int status = 200;
    Map<String, Object> answer = new LinkedHashMap<>();
    synchronized (this) {
      List<Object> current = new ArrayList<>();
      boolean holds = true;
      for (Object e : expected) {
        String key = (String) Json.map(e).get("key");
        Item item = items.get(key);
        holds &= (item == null ? 0 : item.revision) == Json.number(Json.map(e).get("revision"));
        if (item != null) {
          current.add(json(key, item));
        }
      }
      boolean leasesLive =
          writes.stream()
              .map(w -> Json.number(Json.map(w).get("lease")))
              .allMatch(l -> l == 0 || leases.containsKey(l));
      if (!holds) {
        status = 412;
        answer.put("items", current);
      } else if (!leasesLive) {
        status = 404;
      } else {
        revision++;
        for (Object w : writes) {
          String key = (String) Json.map(w).get("key");
          Item before = items.get(key);
          long created = before == null ? revision : before.created;
          long lease = Json.number(Json.map(w).get("lease"));
          apply(key, new Item(values.get(key), revision, created, lease));
        }
        for (Object r : removes) {
          if (items.containsKey((String) r)) {
            apply((String) r, null);
          }
        }
        answer.put("revision", revision);
        notifyAll();
      }
      answer.put("asOf", revision);
    }
    Http.answer(out, status, Json.write(answer));
  }

  private void refuse(String machine, String reason, OutputStream out) throws Exception {
    synchronized (refusals) {
      refusals.add(reason);
      if (refusals.size() <= 5 || refusals.size() % 20 == 0) {
        record.add("store", "400 to " + machine + ": " + reason + " (" + refusals.size() + ")");
      }
    }
    Http.answer(out, 400, "{\"error\":\"" + reason + "\"}");
  }
}
