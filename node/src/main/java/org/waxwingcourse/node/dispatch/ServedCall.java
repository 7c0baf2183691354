package org.waxwingcourse.node.dispatch;

import com.google.protobuf.UnsafeByteOperations;
import java.time.InstantSource;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.wire.DispatchChunk;
import org.waxwingcourse.wire.DispatchMessage;
import org.waxwingcourse.wire.DispatchStart;

/** Sends the response of a call that this host runs for another one. */
final class ServedCall implements AnswerListener {
  private final HostId callerHost;
  private final long callNumber;
  private final PeerOutbox outbox;
  private final InstantSource clock;
  private final Runnable onEnd;
  private int chunks;

  ServedCall(
      HostId callerHost, long callNumber, PeerOutbox outbox, InstantSource clock, Runnable onEnd) {
    this.callerHost = callerHost;
    this.callNumber = callNumber;
    this.outbox = outbox;
    this.clock = clock;
    this.onEnd = onEnd;
  }

  @Override
  public void onStart(int status, String contentType) {
    DispatchStart start =
        DispatchStart.newBuilder().setStatus(status).setContentType(contentType).build();
    send(DispatchMessage.newBuilder().setStart(start));
  }

  @Override
  public void onChunk(byte[] bytes) {
    DispatchChunk chunk =
        DispatchChunk.newBuilder()
            .setSequence(chunks++)
            .setData(UnsafeByteOperations.unsafeWrap(bytes))
            .build();
    send(DispatchMessage.newBuilder().setChunk(chunk));
  }

  @Override
  public void onEnd(Outcome outcome) {
    onEnd.run();
    send(
        DispatchMessage.newBuilder()
            .setEnd(DispatchCodec.encode(outcome, chunks, clock.instant())));
  }

  private void send(DispatchMessage.Builder message) {
    outbox.send(callerHost, message.setCall(callNumber));
  }
}
