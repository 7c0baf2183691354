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
  private static final long MAX_FIRST_SEQUENCE = 1L << 40;

  /**
   * Opens a connection and reports the result with {@link #onAuthenticated} or {@link #onClosed}.
   */
  @FunctionalInterface
  interface Dialler {
    void dial(Link link, long attempt);
  }

  /** A message that is not written yet. */
  private record Message(int channel, byte[] payload) {}

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
  private final Deque<Message> queue = new ArrayDeque<>();
  private State state = State.IDLE;
  private long attempt;
  private long queuedBytes;
  private long lastSequence;

  /** A heartbeat of the other host that the next message may answer. */
  private long answerDue = Frames.NO_SEQUENCE;

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
    // Not the numbers of an earlier process, whose last heartbeats may be answered to this one.
    this.lastSequence = random.nextLong(1, MAX_FIRST_SEQUENCE);
  }

  HostId host() {
    return host;
  }

  /** Sends, queues or drops a message. */
  void send(int channel, byte[] payload) {
    long newAttempt = 0;
    synchronized (this) {
      if (state == State.IDLE && retryAt.isPast(clock.instant())) {
        newAttempt = nextAttempt();
      }
      writeOrQueue(new Message(channel, payload));
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

  private void writeOrQueue(Message message) {
    switch (state) {
      case OPEN -> writeMessage(message);
      case DIALLING -> enqueue(message);
      default -> counters.dropped.increment();
    }
  }

  private void enqueue(Message message) {
    int bytes = message.payload.length + Frames.MAX_OVERHEAD_BYTES;
    if (queuedBytes + bytes > settings.maxQueuedBytes()) {
      counters.dropped.increment();
      return;
    }
    queuedBytes += bytes;
    queue.add(message);
  }

  private void writeMessage(Message message) {
    if (!connection.isWritable()) {
      counters.dropped.increment();
      return;
    }
    long heartbeat = monitor.onSend(clock.instant()).orElse(Frames.NO_SEQUENCE);
    writeFrame(Frames.encode(message.channel, message.payload, heartbeat, answerDue));
    answerDue = Frames.NO_SEQUENCE;
  }

  /**
   * Offers the answer to a heartbeat of the other host to the next message; returns false if the
   * connection is not open, so that the answer has to go another way.
   */
  synchronized boolean offerAnswer(long sequence) {
    if (state != State.OPEN) {
      return false;
    }
    answerDue = sequence;
    return true;
  }

  /** Takes an offered answer back; returns false if a message has taken it. */
  synchronized boolean withdrawAnswer(long sequence) {
    if (answerDue != sequence) {
      return false;
    }
    answerDue = Frames.NO_SEQUENCE;
    return true;
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
    monitor = new HeartbeatMonitor(settings, lastSequence, clock.instant());
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
    lastSequence = monitor == null ? lastSequence : monitor.lastSequence();
    counters.dropped.add(queue.size());
    queue.clear();
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

  /** Records the answer to a heartbeat that a message of the other host has brought. */
  synchronized void onHeartbeatAnswer(long sequence) {
    if (state == State.OPEN) {
      monitor.onAnswer(sequence);
    }
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
        sendHeartbeat(monitor.pollRepetition(now));
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
