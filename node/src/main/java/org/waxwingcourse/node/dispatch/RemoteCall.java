package org.waxwingcourse.node.dispatch;

import java.time.Duration;
import java.time.InstantSource;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.DispatchChunk;
import org.waxwingcourse.wire.DispatchEnd;
import org.waxwingcourse.wire.DispatchStart;

/** A call that another host runs for this one. A gap in its chunks ends it as unknown. */
final class RemoteCall {
  private static final Duration SILENCE = Duration.ofSeconds(4);

  private final HostId owner;
  private final AnswerListener listener;
  private final InstantSource clock;
  private int chunks;
  private boolean ended;
  private Deadline silence;

  RemoteCall(HostId owner, AnswerListener listener, InstantSource clock) {
    this.owner = owner;
    this.listener = listener;
    this.clock = clock;
    heard();
  }

  HostId owner() {
    return owner;
  }

  synchronized void heard() {
    silence = Deadline.after(clock, SILENCE);
  }

  synchronized boolean isSilent() {
    return silence.isPast(clock.instant());
  }

  synchronized void start(DispatchStart start) {
    heard();
    if (!ended) {
      listener.onStart(start.getStatus(), start.getContentType());
    }
  }

  /** Returns false if a chunk before this one was lost. */
  synchronized boolean chunk(DispatchChunk chunk) {
    heard();
    if (chunk.getSequence() != chunks) {
      return false;
    }
    chunks++;
    if (!ended) {
      listener.onChunk(chunk.getData().toByteArray());
    }
    return true;
  }

  synchronized void end(DispatchEnd end) {
    end(DispatchCodec.decode(end, chunks, clock.instant()));
  }

  synchronized void end(Outcome outcome) {
    if (!ended) {
      ended = true;
      listener.onEnd(outcome);
    }
  }
}
