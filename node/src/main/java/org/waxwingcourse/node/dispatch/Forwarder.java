package org.waxwingcourse.node.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.member.MembershipView;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.wire.DispatchCancel;
import org.waxwingcourse.wire.DispatchFrame;
import org.waxwingcourse.wire.DispatchLoad;
import org.waxwingcourse.wire.DispatchMessage;
import org.waxwingcourse.wire.DispatchPing;
import org.waxwingcourse.wire.DispatchPong;

/**
 * Carries calls between the host that a caller is connected to and the owner of the engine.
 * Messages between hosts can be lost: chunks are numbered, and the owner is asked every second
 * whether it still has the call. An owner without it may have lost it after it ran, so that is
 * "unknown".
 */
final class Forwarder {
  private static final EventLog LOG = EventLog.of(Forwarder.class);

  private final PeerOutbox outbox;
  private final MembershipView members;
  private final InstantSource clock;
  private final LocalSubmit local;
  private final Consumer<DispatchLoad> loads;
  private final AtomicLong numbers;
  private final ConcurrentMap<Long, RemoteCall> remote = new ConcurrentHashMap<>();
  private final ConcurrentMap<ServedKey, Call> served = new ConcurrentHashMap<>();

  Forwarder(
      PeerOutbox outbox,
      MembershipView members,
      InstantSource clock,
      LocalSubmit local,
      Consumer<DispatchLoad> loads) {
    this.outbox = outbox;
    this.members = members;
    this.clock = clock;
    this.local = local;
    this.loads = loads;
    this.numbers = new AtomicLong(clock.instant().toEpochMilli() << 20);
  }

  /** Runs a request on an engine that this host owns. */
  @FunctionalInterface
  interface LocalSubmit {
    Call submit(UpstreamId engine, InferenceRequest request, AnswerListener listener);
  }

  /** Names a call of another host. */
  private record ServedKey(HostId caller, long number) {}

  Call submit(HostId owner, UpstreamId engine, InferenceRequest request, AnswerListener listener) {
    long number = numbers.incrementAndGet();
    RemoteCall call = new RemoteCall(owner, listener, clock);
    remote.put(number, call);
    send(
        owner,
        number,
        DispatchMessage.newBuilder()
            .setSubmit(DispatchCodec.encode(request, engine, clock.instant())));
    return () -> drop(number, new Outcome.Unknown("request " + request.id() + " was cancelled"));
  }

  void sendLoad(HostId host, DispatchLoad load) {
    outbox.send(host, DispatchMessage.newBuilder().setLoad(load));
  }

  /** Returns how many calls this host runs for others. */
  int served() {
    return served.size();
  }

  /** Asks after calls; called every second. */
  void check() {
    for (Map.Entry<Long, RemoteCall> entry : remote.entrySet()) {
      RemoteCall call = entry.getValue();
      if (call.isSilent() || isDead(call.owner())) {
        drop(entry.getKey(), new Outcome.Unknown("host \"" + call.owner() + "\" kept silent"));
      } else {
        DispatchMessage.Builder ping = DispatchMessage.newBuilder();
        send(call.owner(), entry.getKey(), ping.setPing(DispatchPing.getDefaultInstance()));
      }
    }
    served.forEach(
        (key, call) -> {
          if (isDead(key.caller())) {
            call.cancel();
          }
        });
  }

  void onMessage(HostId from, byte[] payload) {
    try {
      for (DispatchMessage message : DispatchFrame.parseFrom(payload).getMessagesList()) {
        take(from, message);
      }
    } catch (InvalidProtocolBufferException e) {
      LOG.write(Event.DISPATCH_UNREADABLE, from, e.getMessage());
    }
  }

  private void take(HostId from, DispatchMessage message) {
    long number = message.getCall();
    RemoteCall call = remote.get(number);
    switch (message.getKindCase()) {
      case SUBMIT -> serve(from, message);
      case CANCEL ->
          Optional.ofNullable(served.get(new ServedKey(from, number))).ifPresent(Call::cancel);
      case PING -> answerPing(from, number);
      case LOAD -> loads.accept(message.getLoad());
      default -> {
        if (call != null) {
          answer(number, call, message);
        }
      }
    }
  }

  private void answer(long number, RemoteCall call, DispatchMessage message) {
    switch (message.getKindCase()) {
      case START -> call.start(message.getStart());
      case CHUNK -> {
        if (!call.chunk(message.getChunk())) {
          drop(number, new Outcome.Unknown("a part of the answer was lost between hosts"));
        }
      }
      case END -> {
        remote.remove(number);
        call.end(message.getEnd());
      }
      default -> call.heard();
    }
  }

  private void serve(HostId from, DispatchMessage message) {
    ServedKey key = new ServedKey(from, message.getCall());
    ServedCall answer = new ServedCall(from, key.number(), outbox, clock, () -> served.remove(key));
    served.put(key, () -> {});
    InferenceRequest request = DispatchCodec.decode(message.getSubmit(), clock.instant());
    Call call = local.submit(UpstreamId.of(message.getSubmit().getEngine()), request, answer);
    served.computeIfPresent(key, (k, old) -> call);
  }

  private void answerPing(HostId from, long number) {
    DispatchMessage.Builder reply = DispatchMessage.newBuilder();
    if (served.containsKey(new ServedKey(from, number))) {
      reply.setPong(DispatchPong.getDefaultInstance());
    } else {
      reply.setEnd(DispatchCodec.encode(notHere(), 0, clock.instant()));
    }
    send(from, number, reply);
  }

  private static Outcome notHere() {
    return new Outcome.Unknown("the owner of the engine does not have the request");
  }

  private void drop(long number, Outcome outcome) {
    RemoteCall call = remote.remove(number);
    if (call != null) {
      DispatchMessage.Builder cancel = DispatchMessage.newBuilder();
      send(call.owner(), number, cancel.setCancel(DispatchCancel.getDefaultInstance()));
      call.end(outcome);
    }
  }

  private boolean isDead(HostId host) {
    return members.find(host).map(Member::state).filter(s -> s == MemberState.DEAD).isPresent();
  }

  private void send(HostId host, long number, DispatchMessage.Builder message) {
    outbox.send(host, message.setCall(number));
  }
}
