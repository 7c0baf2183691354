package org.waxwingcourse.fleet.relay;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.EngineSender;
import org.waxwingcourse.fleet.reach.DirectSender;
import org.waxwingcourse.fleet.reach.ReachMonitor;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.ConnectionUse;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Sends requests to engines, through another host while this one reaches none. A request that was
 * not sent because no engine was reached is passed on to another host, so that its caller notices
 * the cut by a delay only.
 *
 * <p>Ways weighed: naming other hosts to callers (they keep open connections and answers for
 * seconds, and have none to go to if all hosts are cut off that take callers); moving the whole
 * request to another host (its admission, charge and place in the queue would have to move too).
 */
public final class RelayingSender implements EngineSender {
  /** Largest body in bytes that is relayed; a larger one would hold up the messages behind it. */
  private static final int MAX_RELAYED_BYTES = 1 << 20;

  /** Maximum number of hosts that are asked to send one request. */
  private static final int MAX_RELAYS = 3;

  private static final CallFailure NO_HOST_IN_REACH =
      new CallFailure(CallFailure.Kind.OUT_OF_REACH, "no host reaches any engine");

  private final DirectSender direct;
  private final RelayClient relays;
  private final RelayHosts hosts;
  private final ReachMonitor reach;
  private final Executor executor;

  /**
   * Creates a sender that prefers its own connections.
   *
   * @param executor ends calls that are not sent at all
   */
  public RelayingSender(
      DirectSender direct,
      RelayClient relays,
      RelayHosts hosts,
      ReachMonitor reach,
      Executor executor) {
    this.direct = direct;
    this.relays = relays;
    this.hosts = hosts;
    this.reach = reach;
    this.executor = executor;
  }

  @Override
  public StreamCall send(EngineRequest request, EngineListener listener) {
    RelayableCall call = new RelayableCall(request, listener);
    call.start();
    return call;
  }

  @Override
  public List<UpstreamId> enginesWithIdleConnections() {
    return reach.isOutOfReach() ? List.of() : direct.enginesWithIdleConnections();
  }

  @Override
  public CompletableFuture<Boolean> canConnect(EngineEntry engine) {
    return direct.canConnect(engine);
  }

  @Override
  public void reportSilence(EngineEntry engine) {
    direct.reportSilence(engine);
  }

  /** A request that may be sent more than once, as long as no engine has seen it. */
  private final class RelayableCall implements StreamCall, EngineListener {
    private final EngineRequest request;
    private final EngineListener listener;
    private final Set<HostId> askedHosts = new HashSet<>();
    private StreamCall current;
    private boolean cancelled;

    RelayableCall(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
    }

    synchronized void start() {
      if (reach.isOutOfReach() && relay()) {
        return;
      }
      if (reach.isOutOfReach() && hosts.isNoneNamed()) {
        // A silent cut would hold the request, and its slot, until the connection times out.
        current = () -> {};
        executor.execute(() -> onEnd(Option.some(NO_HOST_IN_REACH)));
        return;
      }
      StreamCall sent = direct.send(request, this);
      current = current == null ? sent : current;
    }

    /** Passes the request on to another host; returns false if there is none to ask. */
    private boolean relay() {
      Option<HostId> host =
          askedHosts.size() < MAX_RELAYS && request.body().length <= MAX_RELAYED_BYTES
              ? hosts.choose(askedHosts)
              : Option.none();
      host.forEach(askedHosts::add);
      host.forEach(h -> current = relays.send(h, request, this));
      return host.isDefined();
    }

    @Override
    public void cancel() {
      StreamCall cancelledCall;
      synchronized (this) {
        cancelled = true;
        cancelledCall = current;
      }
      cancelledCall.cancel();
    }

    @Override
    public void setReading(boolean reading) {
      current().setReading(reading);
    }

    @Override
    public Option<ConnectionUse> connection() {
      return current().connection();
    }

    @Override
    public void afterPendingInput(Runnable action) {
      current().afterPendingInput(action);
    }

    private synchronized StreamCall current() {
      return current;
    }

    @Override
    public void onHead(EngineAnswer head) {
      listener.onHead(head);
    }

    @Override
    public void onBytes(byte[] bytes) {
      listener.onBytes(bytes);
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      if (failure.exists(f -> f.kind() == CallFailure.Kind.OUT_OF_REACH) && relayUnlessEnded()) {
        return;
      }
      listener.onEnd(failure);
    }

    private synchronized boolean relayUnlessEnded() {
      return !cancelled && relay();
    }
  }
}
