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

/** A call that another host runs for this one. A gap in its chunks makes its outcome unknown. */
final class RemoteCall {
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(4);

  private final HostId owner;
  private final AnswerListener listener;
  private final InstantSource clock;
  private int chunks;
  private boolean ended;
  private Deadline silenceDeadline;

  RemoteCall(HostId owner, AnswerListener listener, InstantSource clock) {
    this.owner = owner;
    this.listener = listener;
    this.clock = clock;
    recordActivity();
  }

  HostId owner() {
    return owner;
  }

  synchronized void recordActivity() {
    silenceDeadline = Deadline.after(clock, SILENCE_TIMEOUT);
  }

  synchronized boolean isSilent() {
    return silenceDeadline.isPast(clock.instant());
  }

  synchronized void onStart(DispatchStart start) {
    recordActivity();
    if (!ended) {
      listener.onStart(start.getStatus(), start.getContentType());
    }
  }

  /** Passes a chunk on; returns false if a chunk before it was lost. */
  synchronized boolean onChunk(DispatchChunk chunk) {
    recordActivity();
    if (chunk.getSequence() != chunks) {
      return false;
    }
    chunks++;
    if (!ended) {
      listener.onChunk(chunk.getData().toByteArray());
    }
    return true;
  }

  synchronized void onEnd(DispatchEnd end) {
    onEnd(DispatchCodec.decode(end, chunks, clock.instant()));
  }

  synchronized void onEnd(Outcome outcome) {
    if (!ended) {
      ended = true;
      listener.onEnd(outcome);
    }
  }
}
