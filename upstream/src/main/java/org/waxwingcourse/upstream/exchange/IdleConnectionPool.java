package org.waxwingcourse.upstream.exchange;

import io.netty.channel.Channel;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.waxwingcourse.http.Header;
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

  /** Keeps the handler, which a connection that is being closed loses. */
  private record IdleConnection(Channel connection, ExchangeHandler exchanges, Deadline expiry) {}

  /**
   * Returns an open connection that has no request with this identity among its last, or null if
   * there is none.
   */
  Channel acquire(InetSocketAddress upstream, Option<Header> identity) {
    Deque<IdleConnection> idle = byUpstream.get(upstream);
    if (idle == null) {
      return null;
    }
    synchronized (idle) {
      Iterator<IdleConnection> lastFirst = idle.descendingIterator();
      while (lastFirst.hasNext()) {
        IdleConnection next = lastFirst.next();
        boolean open = next.connection.isActive() && !next.expiry.isPast(clock.instant());
        if (open && identity.exists(next.exchanges::hasSent)) {
          continue;
        }
        lastFirst.remove();
        if (open) {
          return next.connection;
        }
        next.connection.close();
      }
    }
    return null;
  }

  /** Keeps a connection for at most {@code keepAlive}. */
  void release(InetSocketAddress upstream, Channel connection, Duration keepAlive) {
    Deque<IdleConnection> idle = byUpstream.computeIfAbsent(upstream, a -> new ArrayDeque<>());
    synchronized (idle) {
      ExchangeHandler exchanges = connection.pipeline().get(ExchangeHandler.class);
      idle.addLast(new IdleConnection(connection, exchanges, Deadline.after(clock, keepAlive)));
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
