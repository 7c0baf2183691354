package org.waxwingcourse.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.waxwingcourse.model.id.HostId;

/**
 * Settings of the transport between hosts.
 *
 * @param self this host
 * @param listen where other hosts connect
 * @param secret proves that a host belongs to the fleet
 * @param heartbeatInterval least time between two heartbeats of a connection in use
 * @param silenceLimit how long a heartbeat may stay unanswered before the connection is replaced
 * @param connectLimit how long a connection may take to open, proofs included
 * @param idleLimit how long a connection without messages stays open
 * @param retryLimit the longest wait before a host that could not be reached is dialled again
 * @param maxFrameBytes largest frame that is sent or taken
 * @param maxQueuedBytes largest backlog towards one host; messages beyond it are dropped
 * @param threads number of network threads
 */
public record PeerSettings(
    HostId self,
    InetSocketAddress listen,
    FleetSecret secret,
    Duration heartbeatInterval,
    Duration silenceLimit,
    Duration connectLimit,
    Duration idleLimit,
    Duration retryLimit,
    int maxFrameBytes,
    int maxQueuedBytes,
    int threads) {
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);
  private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);
  private static final Duration IDLE_LIMIT = Duration.ofMinutes(15);
  private static final Duration RETRY_LIMIT = Duration.ofSeconds(1);
  private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
  private static final int MAX_QUEUED_BYTES = 32 * 1024 * 1024;
  private static final int THREADS = 2;

  /** Returns the settings that suit a fleet on one continent. */
  public static PeerSettings of(HostId self, InetSocketAddress listen, FleetSecret secret) {
    return new PeerSettings(
        self,
        listen,
        secret,
        HEARTBEAT_INTERVAL,
        SILENCE_LIMIT,
        CONNECT_LIMIT,
        IDLE_LIMIT,
        RETRY_LIMIT,
        MAX_FRAME_BYTES,
        MAX_QUEUED_BYTES,
        THREADS);
  }

  /** Returns the same settings with other heartbeat times. */
  public PeerSettings withHeartbeat(Duration interval, Duration silence) {
    return new PeerSettings(
        self,
        listen,
        secret,
        interval,
        silence,
        connectLimit,
        idleLimit,
        retryLimit,
        maxFrameBytes,
        maxQueuedBytes,
        threads);
  }

  /** Returns the same settings with other size limits, in bytes. */
  public PeerSettings withSizes(int frameBytes, int queuedBytes) {
    return new PeerSettings(
        self,
        listen,
        secret,
        heartbeatInterval,
        silenceLimit,
        connectLimit,
        idleLimit,
        retryLimit,
        frameBytes,
        queuedBytes,
        threads);
  }
}
