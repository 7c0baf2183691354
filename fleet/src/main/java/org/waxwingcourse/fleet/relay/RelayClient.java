package org.waxwingcourse.fleet.relay;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.RelayAnswer;
import org.waxwingcourse.wire.fleet.RelayCancel;
import org.waxwingcourse.wire.fleet.RelayCheck;
import org.waxwingcourse.wire.fleet.RelayCheckAnswer;

/**
 * Has other hosts send requests to engines. Messages between hosts may be lost: each part of an
 * answer is numbered, and both hosts compare several times a second which requests are open. A
 * request whose fate is not known ends as lost, since it may have run.
 *
 * <p>Safe for use by several threads.
 */
public final class RelayClient {
  private static final EventLog LOG = EventLog.of(RelayClient.class);

  /** A relaying host that sends nothing for this long is lost; four checks and a margin. */
  private static final Duration SILENCE_LIMIT = Duration.ofMillis(700);

  /** Maximum size in bytes of the parts of all answers that wait for their receivers. */
  private static final long MAX_HELD_BYTES = 8L << 20;

  private final long boot;
  private final PeerTransport peers;
  private final RelayHosts hosts;
  private final InstantSource clock;
  private final AtomicLong lastNumber = new AtomicLong();
  private final AtomicLong heldBytes = new AtomicLong();
  private final Map<Long, RelayedCall> calls = new ConcurrentHashMap<>();
  private final Map<HostId, Instant> heardAt = new ConcurrentHashMap<>();
  private volatile Instant checkedAt;

  /**
   * Creates a client.
   *
   * @param boot identifies this process
   * @param hosts is told of hosts that were lost
   */
  public RelayClient(long boot, PeerTransport peers, RelayHosts hosts, InstantSource clock) {
    this.boot = boot;
    this.peers = peers;
    this.hosts = hosts;
    this.clock = clock;
    this.checkedAt = clock.instant();
  }

  StreamCall send(HostId host, EngineRequest request, EngineListener listener) {
    RelayedCall call = new RelayedCall(lastNumber.incrementAndGet(), host, listener);
    calls.put(call.number, call);
    LOG.write(Event.REQUEST_RELAYED, request.id(), host, request.engine().id());
    send(
        host,
        FleetMessage.newBuilder()
            .setRelayRequest(RelayCodec.encode(request, call.number, boot, clock.instant())));
    return call;
  }

  /** Compares the open requests with the hosts that have them. Called several times a second. */
  public void checkOpenRequests() {
    if (calls.isEmpty()) {
      heardAt.clear();
      checkedAt = clock.instant();
      return;
    }
    Instant now = clock.instant();
    // A host that was paused has not read yet what the others have sent.
    if (now.isBefore(checkedAt.plus(SILENCE_LIMIT))) {
      calls.values().stream().filter(c -> c.isSilent(now)).forEach(this::onHostLost);
    } else {
      heardAt.replaceAll((host, at) -> now);
    }
    checkedAt = now;
    calls.values().stream()
        .collect(
            Collectors.groupingBy(
                c -> c.host, Collectors.mapping(c -> c.number, Collectors.toList())))
        .forEach(this::sendCheck);
  }

  private void sendCheck(HostId host, List<Long> open) {
    RelayCheck.Builder check = RelayCheck.newBuilder().setBoot(boot).addAllOpen(open);
    send(host, FleetMessage.newBuilder().setRelayCheck(check));
  }

  private void onHostLost(RelayedCall call) {
    hosts.recordFailure(call.host);
    call.lose("host \"" + call.host + "\" has been silent for " + SILENCE_LIMIT.toMillis() + " ms");
  }

  /** Passes a part of an answer on to the listener of its request. */
  void onAnswer(HostId from, RelayAnswer answer) {
    heardAt.put(from, clock.instant());
    RelayedCall call = calls.get(answer.getNumber());
    if (answer.getBoot() == boot && call != null && call.host.equals(from)) {
      call.onPart(answer);
    }
  }

  /**
   * Ends the requests that two answers in a row call unknown: one may overtake the end of an answer
   * that another thread has sent before it.
   */
  void onCheckAnswer(HostId from, RelayCheckAnswer answer) {
    heardAt.put(from, clock.instant());
    if (answer.getBoot() != boot) {
      return;
    }
    Set<Long> unknown = Set.copyOf(answer.getUnknownList());
    calls.values().stream()
        .filter(c -> c.host.equals(from))
        .forEach(c -> c.onChecked(unknown.contains(c.number)));
  }

  private void send(HostId to, FleetMessage.Builder message) {
    peers.send(to, PeerChannel.FLEET, message.build().toByteArray());
  }

  /**
   * A request that another host sends. The parts of its answer are handled one after the other;
   * they are held while the receiver is behind, since the other host sends on.
   */
  private final class RelayedCall implements StreamCall {
    private final long number;
    private final HostId host;
    private final EngineListener listener;
    private final Instant sentAt = clock.instant();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Deque<RelayAnswer> held = new ArrayDeque<>();
    private volatile boolean isMissing;
    private volatile boolean hasWholeAnswer;
    private boolean reading = true;
    private boolean handling;
    private int nextPosition;

    RelayedCall(long number, HostId host, EngineListener listener) {
      this.number = number;
      this.host = host;
      this.listener = listener;
    }

    boolean isSilent(Instant now) {
      Instant heard = heardAt.getOrDefault(host, sentAt);
      Instant last = heard.isAfter(sentAt) ? heard : sentAt;
      return !hasWholeAnswer && now.isAfter(last.plus(SILENCE_LIMIT));
    }

    void onPart(RelayAnswer part) {
      hasWholeAnswer |= part.hasEnd();
      synchronized (held) {
        held.add(part);
      }
      if (heldBytes.addAndGet(part.getBody().size()) > MAX_HELD_BYTES) {
        lose("its receiver is too slow");
      }
      handleHeld();
    }

    @Override
    public void setReading(boolean on) {
      synchronized (held) {
        reading = on;
      }
      handleHeld();
    }

    private void handleHeld() {
      synchronized (held) {
        if (handling) {
          return;
        }
        handling = true;
      }
      for (RelayAnswer part = takeHeld(); part != null; part = takeHeld()) {
        handle(part);
      }
    }

    /** Returns the next part, null if there is none that may be handled now. */
    private RelayAnswer takeHeld() {
      synchronized (held) {
        RelayAnswer next = reading || ended.get() ? held.poll() : null;
        handling = next != null;
        heldBytes.addAndGet(next == null ? 0 : -next.getBody().size());
        return next;
      }
    }

    private void handle(RelayAnswer part) {
      if (part.getPosition() != nextPosition) {
        lose("part " + nextPosition + " of the answer was lost");
        return;
      }
      nextPosition++;
      switch (part.getPartCase()) {
        case HEAD -> {
          if (!ended.get()) {
            listener.onHead(RelayCodec.decode(part.getHead()));
          }
        }
        case BODY -> {
          if (!ended.get()) {
            listener.onBytes(part.getBody().toByteArray());
          }
        }
        case END -> end(RelayCodec.decode(part.getEnd()));
        default -> lose("the answer cannot be read");
      }
    }

    void onChecked(boolean unknown) {
      if (unknown && isMissing && !hasWholeAnswer) {
        lose("host \"" + host + "\" does not know the request");
      }
      isMissing = unknown;
    }

    void lose(String reason) {
      if (end(Option.some(new CallFailure(CallFailure.Kind.LINK_LOST, reason)))) {
        LOG.write(Event.RELAY_LOST, host, reason);
        sendCancel();
      }
    }

    /** Ends the call; returns false if it has ended before. */
    private boolean end(Option<CallFailure> failure) {
      if (!ended.compareAndSet(false, true)) {
        return false;
      }
      calls.remove(number);
      listener.onEnd(failure);
      handleHeld();
      return true;
    }

    @Override
    public void cancel() {
      if (end(Option.some(new CallFailure(CallFailure.Kind.CANCELLED, "cancelled")))) {
        sendCancel();
      }
    }

    private void sendCancel() {
      RelayCancel.Builder cancel = RelayCancel.newBuilder().setNumber(number).setBoot(boot);
      RelayClient.this.send(host, FleetMessage.newBuilder().setRelayCancel(cancel));
    }
  }
}
