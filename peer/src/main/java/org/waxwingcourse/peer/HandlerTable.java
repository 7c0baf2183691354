package org.waxwingcourse.peer;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;

/** Maps channels to their handlers. Messages of a channel without a handler are dropped. */
final class HandlerTable {
  private static final EventLog LOG = EventLog.of(HandlerTable.class);
  private static final int SIZE =
      1 + Arrays.stream(Channel.values()).mapToInt(Channel::number).max().orElseThrow();

  private final AtomicReferenceArray<PeerHandler> handlers = new AtomicReferenceArray<>(SIZE);

  void register(Channel channel, PeerHandler handler) {
    handlers.set(channel.number(), handler);
  }

  /**
   * Passes a message to the handler of its channel. An exception of the handler is logged and has
   * no other effect.
   */
  void deliver(HostId from, int channel, byte[] payload) {
    PeerHandler handler = channel > 0 && channel < SIZE ? handlers.get(channel) : null;
    if (handler == null) {
      return;
    }
    try {
      handler.onMessage(from, payload);
    } catch (RuntimeException e) {
      LOG.write(Event.PEER_MESSAGE_FAILED, channel, from, e.toString());
    }
  }
}
