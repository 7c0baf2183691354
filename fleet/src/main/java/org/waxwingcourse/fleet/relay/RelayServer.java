package org.waxwingcourse.fleet.relay;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.view.EngineDirectory;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.RelayAnswer;
import org.waxwingcourse.wire.fleet.RelayCancel;
import org.waxwingcourse.wire.fleet.RelayCheck;
import org.waxwingcourse.wire.fleet.RelayCheckAnswer;
import org.waxwingcourse.wire.fleet.RelayEnd;
import org.waxwingcourse.wire.fleet.RelayRequest;

/**
 * Sends requests to engines for hosts that reach none. It never relays them further, so that there
 * are no loops. A request is cancelled when its host no longer names it or falls silent.
 *
 * <p>Safe for use by several threads.
 */
public final class RelayServer {
  /** Maximum number of open requests; bounds the memory that other hosts can take here. */
  private static final int MAX_OPEN = 512;

  /** Maximum size in bytes of the bodies of open requests. */
  private static final long MAX_OPEN_BYTES = 16 << 20;

  /** A host that sends no check for this long is lost, and its requests are cancelled. */
  private static final Duration SILENCE_LIMIT = Duration.ofMillis(1200);

  /** A check that was composed before a request may arrive after it, within this time. */
  private static final Duration CHECK_DELAY = Duration.ofSeconds(1);

  private final PeerTransport peers;
  private final EngineSender engineCalls;
  private final EngineDirectory engines;
  private final InstantSource clock;
  private final BooleanSupplier acceptsRequests;
  private final Map<RequestKey, RelayedRun> runs = new ConcurrentHashMap<>();
  private final Map<HostId, Instant> checkedAt = new ConcurrentHashMap<>();

  /** Identifies a request of another host's process. */
  private record RequestKey(HostId host, long boot, long number) {}

  /**
   * Creates a server.
   *
   * @param engineCalls sends requests from this host
   * @param acceptsRequests whether new requests are accepted
   */
  public RelayServer(
      PeerTransport peers,
      EngineSender engineCalls,
      EngineDirectory engines,
      InstantSource clock,
      BooleanSupplier acceptsRequests) {
    this.peers = peers;
    this.engineCalls = engineCalls;
    this.engines = engines;
    this.clock = clock;
    this.acceptsRequests = acceptsRequests;
  }

  /** Returns the number of requests that are being relayed. */
  public int countOpen() {
    return runs.size();
  }

  void onRequest(HostId from, RelayRequest request) {
    Option<EngineEntry> engine =
        engines
            .findUsable(UpstreamId.of(request.getEngine()), ServiceName.of(request.getService()))
            .filter(e -> e.startedAtMillis() == request.getEngineStartedMillis());
    RelayedRun run =
        new RelayedRun(
            new RequestKey(from, request.getBoot(), request.getNumber()), request.getBody().size());
    if (!acceptsRequests.getAsBoolean() || isFull()) {
      run.refuse("host accepts no relayed requests");
    } else if (engine.isEmpty()) {
      run.refuse("engine " + request.getEngine() + " is not listed on the relaying host");
    } else if (runs.putIfAbsent(run.key, run) == null) {
      run.start(request, engine.get());
    }
  }

  private boolean isFull() {
    return runs.size() >= MAX_OPEN
        || runs.values().stream().mapToLong(r -> r.bodyBytes).sum() >= MAX_OPEN_BYTES;
  }

  void onCancel(HostId from, RelayCancel cancel) {
    cancel(new RequestKey(from, cancel.getBoot(), cancel.getNumber()));
  }

  /** Cancels what a host no longer names and tells it what it names in vain. */
  void onCheck(HostId from, RelayCheck check) {
    Instant now = clock.instant();
    checkedAt.put(from, now);
    Set<Long> open = Set.copyOf(check.getOpenList());
    runs.values().stream()
        .filter(r -> r.key.host.equals(from))
        .filter(r -> r.key.boot != check.getBoot() || !open.contains(r.key.number))
        .filter(r -> now.isAfter(r.startedAt.plus(CHECK_DELAY)))
        .toList()
        .forEach(r -> cancel(r.key));
    List<Long> unknown =
        open.stream()
            .filter(n -> !runs.containsKey(new RequestKey(from, check.getBoot(), n)))
            .toList();
    RelayCheckAnswer.Builder answer =
        RelayCheckAnswer.newBuilder().setBoot(check.getBoot()).addAllUnknown(unknown);
    send(from, FleetMessage.newBuilder().setRelayCheckAnswer(answer));
  }

  /** Cancels the requests of hosts that have fallen silent. Called several times a second. */
  public void cancelAbandoned() {
    Instant now = clock.instant();
    runs.values().stream().filter(r -> r.isAbandoned(now)).toList().forEach(r -> cancel(r.key));
    checkedAt.values().removeIf(at -> now.isAfter(at.plus(SILENCE_LIMIT)));
  }

  private void cancel(RequestKey key) {
    Option.of(runs.remove(key)).forEach(RelayedRun::cancel);
  }

  private void send(HostId to, FleetMessage.Builder message) {
    peers.send(to, PeerChannel.FLEET, message.build().toByteArray());
  }

  /** Passes an engine's answer on to the host whose caller waits for it. */
  private final class RelayedRun implements EngineListener {
    private final RequestKey key;
    private final int bodyBytes;
    private final Instant startedAt = clock.instant();
    private StreamCall call;
    private boolean cancelled;
    private int position;

    RelayedRun(RequestKey key, int bodyBytes) {
      this.key = key;
      this.bodyBytes = bodyBytes;
    }

    void refuse(String reason) {
      onEnd(Option.some(new CallFailure(CallFailure.Kind.OUT_OF_REACH, reason)));
    }

    void start(RelayRequest request, EngineEntry engine) {
      StreamCall sent = engineCalls.send(RelayCodec.decode(request, engine, clock.instant()), this);
      synchronized (this) {
        call = sent;
        if (!cancelled) {
          return;
        }
      }
      sent.cancel();
    }

    void cancel() {
      StreamCall sent;
      synchronized (this) {
        cancelled = true;
        sent = call;
      }
      if (sent != null) {
        sent.cancel();
      }
    }

    boolean isAbandoned(Instant now) {
      Instant checked = checkedAt.getOrDefault(key.host, startedAt);
      Instant last = checked.isAfter(startedAt) ? checked : startedAt;
      return now.isAfter(last.plus(SILENCE_LIMIT));
    }

    @Override
    public void onHead(EngineAnswer head) {
      sendPart(RelayAnswer.newBuilder().setHead(RelayCodec.encode(head)));
    }

    @Override
    public void onBytes(byte[] bytes) {
      sendPart(RelayAnswer.newBuilder().setBody(RelayCodec.encode(bytes)));
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      RelayEnd.Builder end = RelayCodec.encode(failure);
      sendPart(RelayAnswer.newBuilder().setEnd(end));
      runs.remove(key, this);
    }

    private synchronized void sendPart(RelayAnswer.Builder part) {
      part.setNumber(key.number).setBoot(key.boot).setPosition(position++);
      send(key.host, FleetMessage.newBuilder().setRelayAnswer(part));
    }
  }
}
