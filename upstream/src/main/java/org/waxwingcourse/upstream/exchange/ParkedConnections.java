package org.waxwingcourse.upstream.exchange;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.waxwingcourse.model.time.Deadline;

/** Open connections without a request, newest first, each until its deadline. */
final class ParkedConnections {
  /** Most connections kept for one upstream; it runs fewer requests than this at once. */
  private static final int MAX_PER_UPSTREAM = 8;

  private final InstantSource clock;
  private final Map<InetSocketAddress, Deque<Parked>> byUpstream = new ConcurrentHashMap<>();

  ParkedConnections(InstantSource clock) {
    this.clock = clock;
  }

  private record Parked(Channel connection, Deadline until) {}

  /** Returns an open connection, or null if none is fit for another request. */
  Channel take(InetSocketAddress upstream) {
    Deque<Parked> parked = byUpstream.get(upstream);
    if (parked == null) {
      return null;
    }
    synchronized (parked) {
      while (!parked.isEmpty()) {
        Parked last = parked.pollLast();
        if (last.connection.isActive() && !last.until.isPast(clock.instant())) {
          return last.connection;
        }
        last.connection.close();
      }
    }
    return null;
  }

  /** Keeps a connection for {@code keepFor}. */
  void park(InetSocketAddress upstream, Channel connection, Duration keepFor) {
    Deque<Parked> parked = byUpstream.computeIfAbsent(upstream, a -> new ArrayDeque<>());
    synchronized (parked) {
      parked.addLast(new Parked(connection, Deadline.after(clock, keepFor)));
      if (parked.size() > MAX_PER_UPSTREAM) {
        parked.pollFirst().connection.close();
      }
    }
  }

  void forget(InetSocketAddress upstream) {
    Deque<Parked> parked = byUpstream.remove(upstream);
    if (parked != null) {
      synchronized (parked) {
        parked.forEach(p -> p.connection.close());
        parked.clear();
      }
    }
  }
}
