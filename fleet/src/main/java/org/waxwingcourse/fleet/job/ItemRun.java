package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.fleet.coordinate.SlotListener;
import org.waxwingcourse.fleet.coordinate.SlotRequirements;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.fleet.JobItem;

/**
 * Runs one item until it has its result. What an engine has already given is kept when the item
 * loses its slot or its engine, and the next engine goes on after it.
 *
 * <p>All state is guarded by this object's lock; the listener is called outside it.
 */
final class ItemRun {
  private static final EventLog LOG = EventLog.of(ItemRun.class);

  /** Silence after which an engine is left; several times the pause of a slow engine. */
  private static final Duration SILENCE_LIMIT = Duration.ofMillis(900);

  /** Longest time that one engine may work on an item. */
  private static final Duration RUN_LIMIT = Duration.ofSeconds(30);

  /** Pause after an engine failed the item, before it is tried again. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

  private static final int UNPROCESSABLE = 422;
  private static final int SERVER_ERROR = 500;

  /** Hears the result of an item, once. */
  @FunctionalInterface
  interface ResultListener {
    void onResult(ItemRun item, boolean completed, String text);
  }

  private final int index;
  private final JobItem item;
  private final RunningJob job;
  private final JobRunner.Ports ports;
  private final ResultListener listener;
  private final Set<UpstreamId> failedOn = new HashSet<>();
  private final List<String> data = new ArrayList<>();
  private Option<Long> lastEvent = Option.none();
  private Attempt attempt;
  private long slot;
  private int failures;
  private boolean done;

  ItemRun(int index, JobItem item, RunningJob job, JobRunner.Ports ports, ResultListener listener) {
    this.index = index;
    this.item = item;
    this.job = job;
    this.ports = ports;
    this.listener = listener;
  }

  int index() {
    return index;
  }

  JobItem item() {
    return item;
  }

  /** Asks for a slot. */
  synchronized void begin() {
    if (done) {
      return;
    }
    Option<Route> route = job.route();
    if (route.isEmpty()) {
      result(false, "");
      return;
    }
    SlotRequirements requirements =
        new SlotRequirements(
            RequestId.of(item.getId()),
            route.get().pick(ports.random().nextDouble()),
            WorkClass.BATCH,
            route.get().rank(),
            Option.none(),
            Deadline.at(job.due().at().minus(ports.times().left(data.size()))),
            job.giveUpAt(),
            ports.promptParts().apply(item.getHeadersList()),
            failedOn);
    Waiting waiting = new Waiting();
    waiting.number = ports.slots().requestSlot(requirements, waiting);
    slot = waiting.number;
  }

  /** Stops without a result. */
  synchronized void stop() {
    done = true;
    if (attempt != null) {
      drop(RunEnd.How.CANCELLED);
    } else if (slot != 0) {
      ports.slots().withdrawRequest(slot);
    }
  }

  private synchronized void granted(Waiting waiting, UpstreamId engine) {
    Option<EngineEntry> entry = ports.engines().get(engine).filter(e -> !e.leaving());
    if (done || entry.isEmpty()) {
      ports.slots().endRun(waiting.number, RunEnd.of(RunEnd.How.CANCELLED));
      if (!done) {
        later();
      }
      return;
    }
    Deadline until = Deadline.after(ports.clock(), RUN_LIMIT).earlier(job.giveUpAt());
    attempt = new Attempt(waiting.number);
    Attempt sent = attempt;
    sent.call =
        ports
            .calls()
            .send(
                new EngineRequest(
                    RequestId.of(item.getId()),
                    entry.get(),
                    "POST",
                    item.getPath(),
                    headers(),
                    item.getBody().toByteArray(),
                    Option.some(job.organisation()),
                    lastEvent,
                    until,
                    true),
                sent);
    sent.engine = engine;
    sent.watch(SILENCE_LIMIT);
  }

  private List<Header> headers() {
    List<Header> headers = new ArrayList<>();
    headers.add(Header.of("Host", job.host()));
    item.getHeadersList().forEach(h -> headers.add(Header.of(h.getName(), h.getValue())));
    return headers;
  }

  private synchronized void refused(Waiting waiting) {
    if (done || waiting.number != slot) {
      return;
    }
    if (job.giveUpAt().isPast(ports.clock().instant())) {
      result(false, "");
    } else {
      later();
    }
  }

  /** Gives a slot back and asks for another; its grant may have been overtaken on the way here. */
  private synchronized void yielded(Waiting waiting) {
    if (done || waiting.number != slot) {
      return;
    }
    if (attempt != null) {
      drop(RunEnd.How.CANCELLED);
    }
    begin();
  }

  private void drop(RunEnd.How how) {
    Attempt dropped = attempt;
    attempt = null;
    slot = 0;
    dropped.close(how);
    dropped.call.cancel();
  }

  private void later() {
    slot = 0;
    ports.timer().schedule(this::begin, RETRY_PAUSE.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void result(boolean completed, String text) {
    done = true;
    slot = 0;
    ports.timer().execute(() -> listener.onResult(this, completed, text));
  }

  private void failed(String why) {
    failures++;
    LOG.write(Event.ITEM_FAILED, item.getId(), job.id(), why, failures, job.maxAttempts());
    if (failures >= job.maxAttempts()) {
      result(false, "");
    } else {
      later();
    }
  }

  /** A request for a slot. */
  private final class Waiting implements SlotListener {
    private volatile long number;

    @Override
    public void onGrant(UpstreamId engine, Duration waited) {
      granted(this, engine);
    }

    @Override
    public void onRefusal(boolean overRate, Instant retryAt, String reason) {
      refused(this);
    }

    @Override
    public void onYield() {
      yielded(this);
    }
  }

  /** One send to an engine. */
  private final class Attempt implements EngineListener {
    private final long number;
    private final Instant sentAt = ports.clock().instant();
    private final ServerSentEventParser parser = new ServerSentEventParser();
    private UpstreamId engine;
    private StreamCall call;
    private EngineAnswer head;
    private Instant firstAt;
    private Instant lastAt = sentAt;
    private int count;
    private boolean closed;

    Attempt(long number) {
      this.number = number;
    }

    void close(RunEnd.How how) {
      if (closed) {
        return;
      }
      closed = true;
      Duration first = firstAt == null ? Duration.ZERO : Duration.between(sentAt, firstAt);
      ports.slots().endRun(number, new RunEnd(how, first, gap()));
    }

    private Duration gap() {
      return count < 2 ? Duration.ZERO : Duration.between(firstAt, lastAt).dividedBy(count - 1);
    }

    void watch(Duration limit) {
      ports.timer().schedule(this::checkSilence, limit.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
      synchronized (ItemRun.this) {
        if (closed || attempt != this) {
          return;
        }
        Duration left = SILENCE_LIMIT.minus(Duration.between(lastAt, ports.clock().instant()));
        if (!left.isNegative() && !left.isZero()) {
          watch(left);
        } else {
          lost("silent");
        }
      }
    }

    private void lost(String why) {
      LOG.write(Event.ITEM_MOVED, item.getId(), job.id(), engine, why, lastEvent.getOrElse(0L));
      failedOn.add(engine);
      drop(RunEnd.How.ENGINE_LOST);
      begin();
    }

    @Override
    public void onHead(EngineAnswer answer) {
      synchronized (ItemRun.this) {
        if (closed) {
          return;
        }
        head = answer;
        lastAt = ports.clock().instant();
        switch (answer.verdict()) {
          case FULL, REFUSED -> {
            drop(RunEnd.How.ENGINE_FULL);
            later();
          }
          case OTHER_ENGINE -> {
            drop(RunEnd.How.ENGINE_WRONG);
            later();
          }
          case CROSSED -> lost("answered another request");
          default -> {
            // The body follows.
          }
        }
      }
    }

    @Override
    public void onBytes(byte[] bytes) {
      synchronized (ItemRun.this) {
        if (!closed && head != null && head.isSuccess()) {
          parser.parse(bytes).forEach(this::onEvent);
        }
      }
    }

    private void onEvent(ServerSentEventParser.ServerSentEvent event) {
      lastAt = ports.clock().instant();
      firstAt = firstAt == null ? lastAt : firstAt;
      count++;
      boolean known =
          event.id() != ServerSentEventParser.NO_ID && lastEvent.exists(l -> event.id() <= l);
      if (known) {
        return;
      }
      if (event.id() != ServerSentEventParser.NO_ID) {
        lastEvent = Option.some(event.id());
      }
      data.add(event.data());
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      synchronized (ItemRun.this) {
        if (closed || attempt != this) {
          return;
        }
        if (failure.isDefined()) {
          lost(failure.get().message());
          return;
        }
        attempt = null;
        slot = 0;
        boolean success = head.isSuccess();
        close(success ? RunEnd.How.WHOLE : RunEnd.How.ENGINE_FAILED);
        if (success) {
          ports.times().completed(data.size(), gap());
          result(true, String.join("\n", data));
        } else if (head.status() == UNPROCESSABLE) {
          LOG.write(Event.ITEM_REFUSED, item.getId(), job.id(), engine);
          result(false, "");
        } else if (head.status() == SERVER_ERROR) {
          failedOn.add(engine);
          failed("engine " + engine + " answered " + head.status());
        } else {
          later();
        }
      }
    }
  }
}
