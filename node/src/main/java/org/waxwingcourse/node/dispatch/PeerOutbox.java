package org.waxwingcourse.node.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.wire.DispatchFrame;
import org.waxwingcourse.wire.DispatchMessage;

/**
 * Collects the messages to each host for a short time, so that a frame carries the tokens of many
 * calls: an engine generates a token for all its streams at the same time.
 */
final class PeerOutbox {
  private static final long FLUSH_DELAY_MICROS = 500;
  private static final int MAX_MESSAGES_PER_FRAME = 256;

  private final Peers peers;
  private final ScheduledExecutorService timer;
  private final Map<HostId, DispatchFrame.Builder> frames = new HashMap<>();

  PeerOutbox(Peers peers, ScheduledExecutorService timer) {
    this.peers = peers;
    this.timer = timer;
  }

  synchronized void send(HostId host, DispatchMessage.Builder message) {
    DispatchFrame.Builder frame = frames.get(host);
    if (frame == null) {
      frame = DispatchFrame.newBuilder();
      frames.put(host, frame);
      timer.schedule(() -> flush(host), FLUSH_DELAY_MICROS, TimeUnit.MICROSECONDS);
    }
    frame.addMessages(message);
    if (frame.getMessagesCount() >= MAX_MESSAGES_PER_FRAME) {
      flush(host);
    }
  }

  private synchronized void flush(HostId host) {
    DispatchFrame.Builder frame = frames.remove(host);
    if (frame != null) {
      peers.send(host, Channel.DISPATCH, frame.build().toByteArray());
    }
  }
}
