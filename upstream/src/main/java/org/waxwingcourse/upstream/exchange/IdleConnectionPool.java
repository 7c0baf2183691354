package org.waxwingcourse.upstream.exchange;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.waxwingcourse.model.time.Deadline;

/**
 * Open connections without a request. The most recently used connection is reused first, and none
 * is reused after its deadline.
 */
final class IdleConnectionPool {
  /**
   * The maximum number of idle connections to one upstream, more than the requests that it runs at
   * once.
   */
  private static final int MAX_PER_UPSTREAM = 8;

  /** Time that passes between choosing an upstream for its idle connection and using it. */
  private static final Duration SLOT_DECISION_TIME = Duration.ofMillis(50);

  private final InstantSource clock;
  private final Map<InetSocketAddress, Deque<IdleConnection>> byUpstream =
      new ConcurrentHashMap<>();

  IdleConnectionPool(InstantSource clock) {
    this.clock = clock;
  }

  private record IdleConnection(Channel connection, Deadline expiry) {}

  /** Returns an open connection, or null if none can be used for another request. */
  Channel acquire(InetSocketAddress upstream) {
    Deque<IdleConnection> idle = byUpstream.get(upstream);
    if (idle == null) {
      return null;
    }
    synchronized (idle) {
      while (!idle.isEmpty()) {
        IdleConnection last = idle.pollLast();
        if (last.connection.isActive() && !last.expiry.isPast(clock.instant())) {
          return last.connection;
        }
        last.connection.close();
      }
    }
    return null;
  }

  /** Keeps a connection for at most {@code keepAlive}. */
  void release(InetSocketAddress upstream, Channel connection, Duration keepAlive) {
    Deque<IdleConnection> idle = byUpstream.computeIfAbsent(upstream, a -> new ArrayDeque<>());
    synchronized (idle) {
      idle.addLast(new IdleConnection(connection, Deadline.after(clock, keepAlive)));
      if (idle.size() > MAX_PER_UPSTREAM) {
        idle.pollFirst().connection.close();
      }
    }
  }

  /** Returns the upstreams with a usable connection, the most recently used first. */
  List<InetSocketAddress> upstreams() {
    record Recent(InetSocketAddress upstream, Deadline expiry) {}
    List<Recent> usable = new ArrayList<>();
    byUpstream.forEach(
        (upstream, idle) -> {
          synchronized (idle) {
            IdleConnection last = idle.peekLast();
            if (last != null
                && last.connection.isActive()
                && !last.expiry.isPast(clock.instant().plus(SLOT_DECISION_TIME))) {
              usable.add(new Recent(upstream, last.expiry));
            }
          }
        });
    return usable.stream()
        .sorted(Comparator.comparing(Recent::expiry).reversed())
        .map(Recent::upstream)
        .toList();
  }

  void closeAll(InetSocketAddress upstream) {
    Deque<IdleConnection> idle = byUpstream.remove(upstream);
    if (idle != null) {
      synchronized (idle) {
        idle.forEach(p -> p.connection.close());
        idle.clear();
      }
    }
  }
}
