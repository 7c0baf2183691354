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
 * Forwards calls from the host of the caller to the owner of the engine. Messages between hosts can
 * be lost, so chunks are numbered and the owner is asked every second whether it still has the
 * call. An owner that does not have it may have lost it after it ran, so the outcome is then
 * unknown.
 */
final class CallForwarder {
  private static final EventLog LOG = EventLog.of(CallForwarder.class);

  private final PeerOutbox outbox;
  private final MembershipView members;
  private final InstantSource clock;
  private final LocalDispatcher localDispatcher;
  private final Consumer<DispatchLoad> loadListener;
  private final AtomicLong callNumbers;
  private final ConcurrentMap<Long, RemoteCall> remoteCalls = new ConcurrentHashMap<>();
  private final ConcurrentMap<ServedCallId, Call> servedCalls = new ConcurrentHashMap<>();

  CallForwarder(
      PeerOutbox outbox,
      MembershipView members,
      InstantSource clock,
      LocalDispatcher localDispatcher,
      Consumer<DispatchLoad> loadListener) {
    this.outbox = outbox;
    this.members = members;
    this.clock = clock;
    this.localDispatcher = localDispatcher;
    this.loadListener = loadListener;
    this.callNumbers = new AtomicLong(clock.instant().toEpochMilli() << 20);
  }

  /** Runs a request on an engine that this host owns. */
  @FunctionalInterface
  interface LocalDispatcher {
    Call submit(UpstreamId engine, InferenceRequest request, AnswerListener listener);
  }

  /** Identifies a call of another host. */
  private record ServedCallId(HostId caller, long number) {}

  Call submit(HostId owner, UpstreamId engine, InferenceRequest request, AnswerListener listener) {
    long number = callNumbers.incrementAndGet();
    RemoteCall call = new RemoteCall(owner, listener, clock);
    remoteCalls.put(number, call);
    send(
        owner,
        number,
        DispatchMessage.newBuilder()
            .setSubmit(DispatchCodec.encode(request, engine, clock.instant())));
    return () ->
        abandonCall(number, new Outcome.Unknown("request " + request.id() + " was cancelled"));
  }

  void sendLoad(HostId host, DispatchLoad load) {
    outbox.send(host, DispatchMessage.newBuilder().setLoad(load));
  }

  /** Returns the number of calls that this host runs for other hosts. */
  int servedCallCount() {
    return servedCalls.size();
  }

  /**
   * Pings the owners of remote calls, ends calls whose owner does not respond or is dead, and
   * cancels calls of dead hosts; called every second.
   */
  void checkCalls() {
    for (Map.Entry<Long, RemoteCall> entry : remoteCalls.entrySet()) {
      RemoteCall call = entry.getValue();
      if (call.isSilent() || isDead(call.owner())) {
        abandonCall(
            entry.getKey(),
            new Outcome.Unknown("host \"" + call.owner() + "\" stopped responding"));
      } else {
        DispatchMessage.Builder ping = DispatchMessage.newBuilder();
        send(call.owner(), entry.getKey(), ping.setPing(DispatchPing.getDefaultInstance()));
      }
    }
    servedCalls.forEach(
        (key, call) -> {
          if (isDead(key.caller())) {
            call.cancel();
          }
        });
  }

  void onMessage(HostId from, byte[] payload) {
    try {
      for (DispatchMessage message : DispatchFrame.parseFrom(payload).getMessagesList()) {
        onDecodedMessage(from, message);
      }
    } catch (InvalidProtocolBufferException e) {
      LOG.write(Event.DISPATCH_UNREADABLE, from, e.getMessage());
    }
  }

  private void onDecodedMessage(HostId from, DispatchMessage message) {
    long number = message.getCall();
    RemoteCall call = remoteCalls.get(number);
    switch (message.getKindCase()) {
      case SUBMIT -> serveCall(from, message);
      case CANCEL ->
          Optional.ofNullable(servedCalls.get(new ServedCallId(from, number)))
              .ifPresent(Call::cancel);
      case PING -> replyToPing(from, number);
      case LOAD -> loadListener.accept(message.getLoad());
      default -> {
        if (call != null) {
          onReply(number, call, message);
        }
      }
    }
  }

  private void onReply(long number, RemoteCall call, DispatchMessage message) {
    switch (message.getKindCase()) {
      case START -> call.onStart(message.getStart());
      case CHUNK -> {
        if (!call.onChunk(message.getChunk())) {
          abandonCall(number, new Outcome.Unknown("a part of the response was lost between hosts"));
        }
      }
      case END -> {
        remoteCalls.remove(number);
        call.onEnd(message.getEnd());
      }
      default -> call.recordActivity();
    }
  }

  private void serveCall(HostId from, DispatchMessage message) {
    ServedCallId key = new ServedCallId(from, message.getCall());
    ServedCall answer =
        new ServedCall(from, key.number(), outbox, clock, () -> servedCalls.remove(key));
    servedCalls.put(key, () -> {});
    InferenceRequest request = DispatchCodec.decode(message.getSubmit(), clock.instant());
    Call call =
        localDispatcher.submit(UpstreamId.of(message.getSubmit().getEngine()), request, answer);
    servedCalls.computeIfPresent(key, (k, old) -> call);
  }

  private void replyToPing(HostId from, long number) {
    DispatchMessage.Builder reply = DispatchMessage.newBuilder();
    if (servedCalls.containsKey(new ServedCallId(from, number))) {
      reply.setPong(DispatchPong.getDefaultInstance());
    } else {
      reply.setEnd(DispatchCodec.encode(callNotFound(), 0, clock.instant()));
    }
    send(from, number, reply);
  }

  private static Outcome callNotFound() {
    return new Outcome.Unknown("the owner of the engine does not have the request");
  }

  private void abandonCall(long number, Outcome outcome) {
    RemoteCall call = remoteCalls.remove(number);
    if (call != null) {
      DispatchMessage.Builder cancel = DispatchMessage.newBuilder();
      send(call.owner(), number, cancel.setCancel(DispatchCancel.getDefaultInstance()));
      call.onEnd(outcome);
    }
  }

  private boolean isDead(HostId host) {
    return members.find(host).map(Member::state).filter(s -> s == MemberState.DEAD).isPresent();
  }

  private void send(HostId host, long number, DispatchMessage.Builder message) {
    outbox.send(host, message.setCall(number));
  }
}
