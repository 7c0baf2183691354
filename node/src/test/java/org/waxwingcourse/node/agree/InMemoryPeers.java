package org.waxwingcourse.node.agree;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.PeerHandler;
import org.waxwingcourse.peer.Peers;

/** Delivers messages between hosts in one process, except to and from disconnected hosts. */
final class InMemoryPeers implements AutoCloseable {
  final Set<HostId> disconnected = ConcurrentHashMap.newKeySet();
  final AtomicLong messages = new AtomicLong();
  final AtomicLong bytes = new AtomicLong();
  private final Map<HostId, Endpoint> endpoints = new ConcurrentHashMap<>();
  private final ExecutorService network = Executors.newFixedThreadPool(2);

  Peers endpoint(HostId host) {
    Endpoint endpoint = new Endpoint(host);
    endpoints.put(host, endpoint);
    return endpoint;
  }

  @Override
  public void close() {
    network.shutdownNow();
  }

  private final class Endpoint implements Peers {
    private final HostId self;
    private final Map<Channel, PeerHandler> handlers = new EnumMap<>(Channel.class);

    Endpoint(HostId self) {
      this.self = self;
    }

    @Override
    public void send(HostId to, Channel channel, byte[] payload) {
      messages.incrementAndGet();
      bytes.addAndGet(payload.length);
      Endpoint target = endpoints.get(to);
      if (target != null
          && !disconnected.contains(self)
          && !disconnected.contains(to)
          && !network.isShutdown()) {
        network.execute(() -> target.receive(self, channel, payload));
      }
    }

    @Override
    public synchronized void handle(Channel channel, PeerHandler handler) {
      handlers.put(channel, handler);
    }

    private void receive(HostId from, Channel channel, byte[] payload) {
      PeerHandler handler;
      synchronized (this) {
        handler = handlers.get(channel);
      }
      if (handler != null) {
        handler.onMessage(from, payload);
      }
    }
  }
}
