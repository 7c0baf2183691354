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
 * The way to one other host: at most one connection that this host opened, dialled when there is
 * something to send. Messages wait in a bounded queue while the connection opens; if it cannot be
 * opened they are lost, and so are messages until the next attempt is due (exponential backoff with
 * full jitter). A message is written to one connection once and never again.
 */
final class Link {
  private static final EventLog LOG = EventLog.of(Link.class);
  private static final Duration FIRST_RETRY = Duration.ofMillis(50);
  private static final int MAX_DOUBLINGS = 10;

  /** Opens a connection; the link is told by {@link #opened} or {@link #ended} of the attempt. */
  @FunctionalInterface
  interface Dialler {
    void dial(Link link, long attempt);
  }

  private enum State {
    IDLE,
    DIALLING,
    OPEN
  }

  private final HostId to;
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
  private int failures;
  private Deadline retryAt;

  Link(
      HostId to,
      PeerSettings settings,
      InstantSource clock,
      RandomGenerator random,
      Counters counters,
      Dialler dialler) {
    this.to = to;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.counters = counters;
    this.dialler = dialler;
    this.retryAt = Deadline.at(Instant.MIN);
  }

  HostId to() {
    return to;
  }

  /** Sends a frame or loses it; takes over its reference. */
  void send(ByteBuf frame) {
    long dial = 0;
    synchronized (this) {
      if (state == State.IDLE && retryAt.isPast(clock.instant())) {
        dial = nextAttempt();
      }
      accept(frame);
    }
    if (dial > 0) {
      dialler.dial(this, dial);
    }
  }

  private long nextAttempt() {
    state = State.DIALLING;
    attempt++;
    return attempt;
  }

  private void accept(ByteBuf frame) {
    switch (state) {
      case OPEN -> write(frame);
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

  private void write(ByteBuf frame) {
    if (!connection.isWritable()) {
      drop(frame);
      return;
    }
    push(frame);
    beat(monitor.onSend(clock.instant()));
  }

  private void beat(OptionalLong sequence) {
    if (sequence.isPresent()) {
      push(Frames.heartbeat(sequence.getAsLong(), false));
    }
  }

  private void push(ByteBuf frame) {
    counters.sent(frame.readableBytes());
    connection.writeAndFlush(frame);
  }

  private void drop(ByteBuf frame) {
    counters.dropped.increment();
    frame.release();
  }

  /** The other host has proved itself on a new connection. */
  synchronized void opened(long opened, io.netty.channel.Channel proven) {
    if (opened != attempt) {
      proven.close();
      return;
    }
    connection = proven;
    monitor = new HeartbeatMonitor(settings, clock.instant());
    state = State.OPEN;
    failures = 0;
    while (!queue.isEmpty()) {
      write(queue.poll());
    }
    queuedBytes = 0;
  }

  /** An attempt has failed or its connection is closed; nothing if a later attempt was made. */
  synchronized void ended(long ended) {
    if (ended != attempt || state == State.IDLE) {
      return;
    }
    if (state == State.DIALLING) {
      failures++;
      retryAt = Deadline.after(clock, backoff());
    }
    reset();
  }

  private void reset() {
    state = State.IDLE;
    connection = null;
    queuedBytes = 0;
    while (!queue.isEmpty()) {
      drop(queue.poll());
    }
  }

  private Duration backoff() {
    long cap = settings.retryLimit().toMillis();
    long base = FIRST_RETRY.toMillis() << Math.min(failures, MAX_DOUBLINGS);
    return Duration.ofMillis(random.nextLong(1, Math.min(cap, base) + 1));
  }

  /** Tells whether a connection is open. */
  synchronized boolean open() {
    return state == State.OPEN;
  }

  /** Records the answer to a heartbeat on the connection of an attempt. */
  synchronized void answered(long answered, long sequence) {
    if (answered == attempt && state == State.OPEN) {
      monitor.onAnswer(sequence);
    }
  }

  /** Sends a heartbeat that is due, replaces a silent connection and closes an idle one. */
  void tick() {
    long redial = 0;
    synchronized (this) {
      Instant now = clock.instant();
      if (state != State.OPEN) {
        return;
      }
      if (monitor.silent(now)) {
        redial = replace();
      } else if (monitor.idle(now)) {
        abandon();
      } else {
        beat(monitor.due(now));
      }
    }
    if (redial > 0) {
      dialler.dial(this, redial);
    }
  }

  private long replace() {
    LOG.write(Event.PEER_SILENT, to);
    counters.silences.increment();
    abandon();
    return nextAttempt();
  }

  private void abandon() {
    io.netty.channel.Channel old = connection;
    reset();
    old.close();
  }
}
