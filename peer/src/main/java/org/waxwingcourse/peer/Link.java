package org.waxwingcourse.peer;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.time.Deadline;

/**
 * The outbound connection to one other host. It is opened on demand, and there is at most one at a
 * time. Messages wait in a bounded queue while the connection opens. If it cannot be opened, the
 * queued messages are dropped, and so are further messages until the next attempt is due
 * (exponential backoff with full jitter). A message is written at most once.
 */
final class Link {
  private static final EventLog LOG = EventLog.of(Link.class);
  private static final Duration BASE_RETRY_DELAY = Duration.ofMillis(50);
  private static final int MAX_DOUBLINGS = 10;

  /**
   * Opens a connection and reports the result with {@link #onAuthenticated} or {@link #onClosed}.
   */
  @FunctionalInterface
  interface Dialler {
    void dial(Link link, long attempt);
  }

  private enum State {
    IDLE,
    DIALLING,
    OPEN
  }

  private final HostId host;
  private final PeerSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Counters counters;
  private final Dialler dialler;
  private final Deque<ByteBuf> queue = new ArrayDeque<>();
  private State state = State.IDLE;
  private long attempt;
  private long queuedBytes;
  private io.netty.channel.Channel connection;
  private HeartbeatMonitor monitor;
  private int consecutiveFailures;
  private Deadline retryAt;

  Link(
      HostId host,
      PeerSettings settings,
      InstantSource clock,
      RandomGenerator random,
      Counters counters,
      Dialler dialler) {
    this.host = host;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.counters = counters;
    this.dialler = dialler;
    this.retryAt = Deadline.at(Instant.MIN);
  }

  HostId host() {
    return host;
  }

  /** Sends, queues or drops a frame and takes ownership of its reference. */
  void send(ByteBuf frame) {
    long newAttempt = 0;
    synchronized (this) {
      if (state == State.IDLE && retryAt.isPast(clock.instant())) {
        newAttempt = nextAttempt();
      }
      writeOrQueue(frame);
    }
    if (newAttempt > 0) {
      dialler.dial(this, newAttempt);
    }
  }

  private long nextAttempt() {
    state = State.DIALLING;
    attempt++;
    return attempt;
  }

  private void writeOrQueue(ByteBuf frame) {
    switch (state) {
      case OPEN -> writeMessage(frame);
      case DIALLING -> enqueue(frame);
      default -> drop(frame);
    }
  }

  private void enqueue(ByteBuf frame) {
    int bytes = frame.readableBytes();
    if (queuedBytes + bytes > settings.maxQueuedBytes()) {
      drop(frame);
      return;
    }
    queuedBytes += bytes;
    queue.add(frame);
  }

  private void writeMessage(ByteBuf frame) {
    if (!connection.isWritable()) {
      drop(frame);
      return;
    }
    writeFrame(frame);
    sendHeartbeat(monitor.onSend(clock.instant()));
  }

  private void sendHeartbeat(OptionalLong sequence) {
    if (sequence.isPresent()) {
      writeFrame(Frames.heartbeat(sequence.getAsLong(), false));
    }
  }

  private void writeFrame(ByteBuf frame) {
    counters.sent(frame.readableBytes());
    connection.writeAndFlush(frame);
  }

  private void drop(ByteBuf frame) {
    counters.dropped.increment();
    frame.release();
  }

  /**
   * Starts to use a connection whose handshake is complete, or closes it if a later attempt was
   * made.
   */
  synchronized void onAuthenticated(long ofAttempt, io.netty.channel.Channel authenticated) {
    if (ofAttempt != attempt) {
      authenticated.close();
      return;
    }
    connection = authenticated;
    monitor = new HeartbeatMonitor(settings, clock.instant());
    state = State.OPEN;
    consecutiveFailures = 0;
    while (!queue.isEmpty()) {
      writeMessage(queue.poll());
    }
    queuedBytes = 0;
  }

  /**
   * Records that an attempt failed or that its connection was closed. Has no effect if a later
   * attempt was made.
   */
  synchronized void onClosed(long ofAttempt) {
    if (ofAttempt != attempt || state == State.IDLE) {
      return;
    }
    if (state == State.DIALLING) {
      consecutiveFailures++;
      retryAt = Deadline.after(clock, nextRetryDelay());
    }
    closeAndDropQueue();
  }

  private void closeAndDropQueue() {
    state = State.IDLE;
    connection = null;
    queuedBytes = 0;
    while (!queue.isEmpty()) {
      drop(queue.poll());
    }
  }

  private Duration nextRetryDelay() {
    long maxMillis = settings.maxRetryDelay().toMillis();
    long delayMillis = BASE_RETRY_DELAY.toMillis() << Math.min(consecutiveFailures, MAX_DOUBLINGS);
    return Duration.ofMillis(random.nextLong(1, Math.min(maxMillis, delayMillis) + 1));
  }

  /** Returns whether a connection is open. */
  synchronized boolean isOpen() {
    return state == State.OPEN;
  }

  /** Records the answer to a heartbeat on the connection of the given attempt. */
  synchronized void onHeartbeatAnswer(long ofAttempt, long sequence) {
    if (ofAttempt == attempt && state == State.OPEN) {
      monitor.onAnswer(sequence);
    }
  }

  /** Sends a heartbeat that is due, replaces a silent connection and closes an idle one. */
  void maintain() {
    long newAttempt = 0;
    synchronized (this) {
      Instant now = clock.instant();
      if (state != State.OPEN) {
        return;
      }
      if (monitor.isSilent(now)) {
        newAttempt = reconnect();
      } else if (monitor.isIdle(now)) {
        closeConnection();
      } else {
        sendHeartbeat(monitor.pollHeartbeat(now));
      }
    }
    if (newAttempt > 0) {
      dialler.dial(this, newAttempt);
    }
  }

  private long reconnect() {
    LOG.write(Event.PEER_SILENT, host);
    counters.silences.increment();
    closeConnection();
    return nextAttempt();
  }

  private void closeConnection() {
    io.netty.channel.Channel old = connection;
    closeAndDropQueue();
    old.close();
  }
}
