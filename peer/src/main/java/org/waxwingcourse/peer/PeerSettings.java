package org.waxwingcourse.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.waxwingcourse.model.id.HostId;

/**
 * Settings of the peer transport.
 *
 * @param self the name of this host
 * @param listen the address on which this host accepts connections from other hosts
 * @param secret the secret by which hosts authenticate each other
 * @param heartbeatInterval minimum time between two heartbeats on a connection
 * @param silenceTimeout time after which a connection with an unanswered heartbeat is replaced
 * @param connectTimeout maximum time for the TCP connect, and again for the handshake
 * @param idleTimeout time after which a connection without messages is closed
 * @param maxRetryDelay maximum delay before an unreachable host is dialled again
 * @param maxFrameBytes maximum size of a frame in bytes, for sending and receiving
 * @param maxQueuedBytes maximum number of bytes queued for one host; further messages are dropped
 * @param threads number of network threads
 */
public record PeerSettings(
    HostId self,
    InetSocketAddress listen,
    FleetSecret secret,
    Duration heartbeatInterval,
    Duration silenceTimeout,
    Duration connectTimeout,
    Duration idleTimeout,
    Duration maxRetryDelay,
    int maxFrameBytes,
    int maxQueuedBytes,
    int threads) {
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(15);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);
  private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
  private static final int MAX_QUEUED_BYTES = 32 * 1024 * 1024;
  private static final int THREADS = 2;

  /** Returns the default settings, which suit a fleet on one continent. */
  public static PeerSettings of(HostId self, InetSocketAddress listen, FleetSecret secret) {
    return new PeerSettings(
        self,
        listen,
        secret,
        HEARTBEAT_INTERVAL,
        SILENCE_TIMEOUT,
        CONNECT_TIMEOUT,
        IDLE_TIMEOUT,
        MAX_RETRY_DELAY,
        MAX_FRAME_BYTES,
        MAX_QUEUED_BYTES,
        THREADS);
  }

  /** Returns a copy of these settings with the given heartbeat interval and silence timeout. */
  public PeerSettings withHeartbeatTiming(Duration interval, Duration timeout) {
    return new PeerSettings(
        self,
        listen,
        secret,
        interval,
        timeout,
        connectTimeout,
        idleTimeout,
        maxRetryDelay,
        maxFrameBytes,
        maxQueuedBytes,
        threads);
  }

  /** Returns a copy of these settings with the given number of network threads. */
  public PeerSettings withThreads(int count) {
    return new PeerSettings(
        self,
        listen,
        secret,
        heartbeatInterval,
        silenceTimeout,
        connectTimeout,
        idleTimeout,
        maxRetryDelay,
        maxFrameBytes,
        maxQueuedBytes,
        count);
  }

  /** Returns a copy of these settings with the given size limits in bytes. */
  public PeerSettings withSizeLimits(int frameBytes, int queuedBytes) {
    return new PeerSettings(
        self,
        listen,
        secret,
        heartbeatInterval,
        silenceTimeout,
        connectTimeout,
        idleTimeout,
        maxRetryDelay,
        frameBytes,
        queuedBytes,
        threads);
  }
}
