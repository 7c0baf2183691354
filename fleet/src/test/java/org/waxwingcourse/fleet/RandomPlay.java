package org.waxwingcourse.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.waxwingcourse.fleet.coordinate.SlotClient;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;
import org.waxwingcourse.wire.fleet.SlotYield;

/**
 * Plays the coordinators and the engines of one request at random and checks its slots and runs
 * after each step.
 *
 * <p>It keeps to what the slot client and the HTTP client rule out: no refusal of a granted slot
 * reaches the request, since the client decides each request once; a run has at most one head,
 * which precedes its events; an engine skips no event where nothing shows it, that is before the
 * first numbered event and after one without a number.
 */
public final class RandomPlay {
  /** Number of events of the whole answer. */
  public static final int EVENTS = 8;

  private static final HostId COORDINATOR = HostId.of("coordinator");
  private static final HostId SECOND_COORDINATOR = HostId.of("coordinator-2");
  private static final Pattern DATA = Pattern.compile("r(\\d+):(\\d+)");

  /** Longer than any engine may be silent. */
  private static final Duration SILENCE = Duration.ofMillis(3100);

  private enum SlotState {
    UNDECIDED,
    HELD,
    OVER
  }

  private static final class Run {
    private final EngineRequest request;
    private final EngineListener listener;
    private long last;
    private int status;
    private boolean unnumbered;
    private boolean over;

    Run(EngineRequest request, EngineListener listener) {
      this.request = request;
      this.listener = listener;
      this.last = request.resumeAfter().getOrElse(0L);
    }
  }

  private final Random random;
  private final SlotClient client;
  private final RecordedSlots slots;
  private final BiConsumer<HostId, FleetMessage> receive;
  private final ManualTimer timer;
  private final List<UpstreamId> engines;
  private final Map<Long, SlotState> states = new TreeMap<>();
  private final Map<Long, UpstreamId> granted = new HashMap<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<String> trace = new ArrayList<>();

  /** The request of a grant that is being received and decides nothing; it may be returned once. */
  private Option<Long> returnable = Option.none();

  /**
   * Creates a play.
   *
   * @param client the host's slot client
   * @param slots the requests for slots of the host
   * @param receive passes a message of a coordinator to the host
   * @param engines the engines that the host knows
   */
  public RandomPlay(
      long seed,
      SlotClient client,
      RecordedSlots slots,
      BiConsumer<HostId, FleetMessage> receive,
      ManualTimer timer,
      List<UpstreamId> engines) {
    this.random = new Random(seed);
    this.client = client;
    this.slots = slots;
    this.receive = receive;
    this.timer = timer;
    this.engines = engines;
    trace.add("seed " + seed);
  }

  /** Returns the steps so far. */
  public String trace() {
    return String.join("; ", trace);
  }

  /** Returns the source of choices. */
  public Random random() {
    return random;
  }

  /** Adds a step that the test takes itself. */
  public void note(String step) {
    trace.add(step);
  }

  /** Takes a message that the host sent. */
  public void onSent(FleetMessage message) {
    if (message.hasAsk()) {
      states.putIfAbsent(message.getAsk().getNumber(), SlotState.UNDECIDED);
    } else if (message.hasEnd()) {
      long number = message.getEnd().getNumber();
      trace.add("(end " + number + ")");
      if (returnable.contains(number)) {
        returnable = Option.none();
        return;
      }
      assertThat(states.put(number, SlotState.OVER))
          .as("state of slot %d at its end: %s", number, trace())
          .isEqualTo(SlotState.HELD);
    } else if (message.hasWithdraw()) {
      trace.add("(withdraw " + message.getWithdraw().getNumber() + ")");
      states.put(message.getWithdraw().getNumber(), SlotState.OVER);
    }
  }

  /** Takes a request that the host sent to an engine. */
  public StreamCall onRequest(EngineRequest request, EngineListener listener) {
    Run run = new Run(request, listener);
    trace.add("(run " + runs.size() + " after " + run.last + ")");
    runs.add(run);
    return () -> {
      run.over = true;
      if (random.nextBoolean()) {
        listener.onEnd(Option.some(new CallFailure(CallFailure.Kind.CANCELLED, "cancelled")));
      }
    };
  }

  /** Takes a random step. */
  public void step() {
    if (!states.isEmpty() && random.nextInt(3) == 0) {
      decide();
    } else if (!runs.isEmpty() && random.nextInt(4) > 0) {
      answer(random.nextInt(3) == 0 ? random.nextInt(runs.size()) : runs.size() - 1);
    } else {
      Duration span = random.nextInt(12) == 0 ? SILENCE : Duration.ofMillis(random.nextInt(200));
      advance(span);
    }
  }

  private void advance(Duration span) {
    trace.add("advance " + span.toMillis());
    timer.advance(span);
  }

  private void decide() {
    List<Long> numbers = List.copyOf(states.keySet());
    boolean latest = random.nextInt(3) > 0;
    long number = numbers.get(latest ? numbers.size() - 1 : random.nextInt(numbers.size()));
    switch (random.nextInt(12)) {
      case 10 -> {
        HostId next = random.nextBoolean() ? COORDINATOR : SECOND_COORDINATOR;
        trace.add("attach to " + next);
        client.attachTo(next);
      }
      case 11 -> {
        trace.add("resend");
        client.resendLostMessages();
      }
      case 0, 1, 2, 3 -> grant(COORDINATOR, number, engineOf(number));
      case 4 -> grant(SECOND_COORDINATOR, number, anyEngine());
      case 5, 6 -> {
        // What the client has decided on another thread arrives late, or a second time.
        if (states.get(number) != SlotState.UNDECIDED) {
          trace.add("late grant " + number);
          slots.listenerOf(number).onGrant(anyEngine(), Option.none(), Duration.ZERO);
        }
      }
      case 7 -> refuse(number);
      case 8 -> {
        if (states.get(number) == SlotState.OVER && !granted.containsKey(number)) {
          trace.add("late refusal " + number);
          slots.listenerOf(number).onRefusal(RefusalCode.OVERLOADED, Instant.EPOCH, "late");
        }
      }
      default -> yieldSlot(number);
    }
  }

  private UpstreamId anyEngine() {
    return engines.get(random.nextInt(engines.size()));
  }

  private UpstreamId engineOf(long number) {
    return granted.getOrDefault(number, anyEngine());
  }

  private void grant(HostId from, long number, UpstreamId engine) {
    trace.add("grant " + number + " by " + from);
    if (states.get(number) == SlotState.UNDECIDED) {
      states.put(number, SlotState.HELD);
      granted.put(number, engine);
    } else {
      returnable = Option.some(number);
    }
    SlotGrant.Builder grant = SlotGrant.newBuilder().setNumber(number).setEngine(engine.value());
    receive.accept(from, FleetMessage.newBuilder().setGrant(grant).build());
    returnable = Option.none();
  }

  private void refuse(long number) {
    trace.add("refuse " + number);
    states.computeIfPresent(number, (n, s) -> s == SlotState.UNDECIDED ? SlotState.OVER : s);
    receive.accept(
        COORDINATOR,
        FleetMessage.newBuilder().setRefusal(SlotRefusal.newBuilder().setNumber(number)).build());
  }

  private void yieldSlot(long number) {
    boolean batch = slots.requirementsOf(number).batchWork().isDefined();
    if (batch) {
      trace.add("yield " + number);
      states.put(number, SlotState.OVER);
      receive.accept(
          COORDINATOR,
          FleetMessage.newBuilder().setYield(SlotYield.newBuilder().setNumber(number)).build());
    }
  }

  private void answer(int index) {
    Run run = runs.get(index);
    if (run.status == 0) {
      switch (random.nextInt(16)) {
        case 0 -> head(index, 503, EngineAnswer.Verdict.FULL);
        case 1 -> head(index, 500, EngineAnswer.Verdict.RUN);
        case 2 -> head(index, 200, EngineAnswer.Verdict.MISMATCHED);
        case 3 -> end(index, Option.some(CallFailure.Kind.LOST));
        case 4 -> end(index, Option.some(CallFailure.Kind.NOT_SENT));
        default -> head(index, 200, EngineAnswer.Verdict.RUN);
      }
      return;
    }
    if (run.status != 200) {
      end(index, Option.none());
      return;
    }
    switch (random.nextInt(24)) {
      case 0 ->
          end(
              index,
              Option.some(
                  random.nextBoolean() ? CallFailure.Kind.LOST : CallFailure.Kind.TIMED_OUT));
      case 1 -> {
        run.listener.onBytes("id: 9".getBytes(StandardCharsets.US_ASCII));
        end(index, Option.none());
      }
      case 2 -> event(index, run.last, !run.unnumbered && run.last > 0);
      case 3 -> event(index, run.last + (run.last > 0 && !run.unnumbered ? 2 : 1), true);
      case 4 -> {
        run.unnumbered = true;
        event(index, run.last + 1, true);
      }
      default -> {
        if (run.last < EVENTS) {
          event(index, run.last + 1, true);
        } else {
          end(index, Option.none());
        }
      }
    }
  }

  private void head(int index, int status, EngineAnswer.Verdict verdict) {
    trace.add("run " + index + " head " + status + " " + verdict);
    Run run = runs.get(index);
    run.status = status;
    boolean leaving = random.nextInt(20) == 0;
    run.listener.onHead(new EngineAnswer(status, List.of(), verdict, false, leaving));
  }

  private void event(int index, long id, boolean sensible) {
    Run run = runs.get(index);
    if (!sensible || id > EVENTS) {
      return;
    }
    long last = Math.min(EVENTS, id + (random.nextInt(4) == 0 ? 2 : 0));
    trace.add(
        "run " + index + " events " + id + "-" + last + (run.unnumbered ? " without id" : ""));
    run.last = last;
    StringBuilder bytes = new StringBuilder();
    for (long i = id; i <= last; i++) {
      bytes.append(run.unnumbered ? "" : "id: " + i + "\n");
      bytes.append("data: r").append(index).append(':').append(i).append("\n\n");
    }
    run.listener.onBytes(bytes.toString().getBytes(StandardCharsets.US_ASCII));
  }

  private void end(int index, Option<CallFailure.Kind> failure) {
    trace.add("run " + index + " end " + failure.getOrNull());
    Run run = runs.get(index);
    run.over = true;
    run.listener.onEnd(failure.map(k -> new CallFailure(k, "reset")));
  }

  /** Grants what is undecided, lets the run that is alive send all events, and waits. */
  public void driveFairly() {
    states.entrySet().stream()
        .filter(e -> e.getValue() == SlotState.UNDECIDED)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(n -> grant(COORDINATOR, n, anyEngine()));
    timer.advance(Duration.ZERO);
    for (int i = 0; i < runs.size(); i++) {
      Run run = runs.get(i);
      if (!run.over && run.status == 0) {
        head(i, 200, EngineAnswer.Verdict.RUN);
      }
      while (!run.over && run.status == 200 && run.last < EVENTS) {
        event(i, run.last + 1, true);
      }
      if (!run.over) {
        end(i, Option.none());
      }
    }
    advance(Duration.ofMillis(200));
  }

  /** Checks that the request has one slot or asks for one, and has one run, at most. */
  public void checkSlotsAndRuns() {
    long open = states.values().stream().filter(s -> s != SlotState.OVER).count();
    assertThat(open).as("slots asked for or held: %s", trace()).isLessThanOrEqualTo(1);
    long alive = runs.stream().filter(r -> !r.over).count();
    assertThat(alive).as("runs alive: %s", trace()).isLessThanOrEqualTo(1);
    long held = states.values().stream().filter(v -> v == SlotState.HELD).count();
    assertThat(alive).as("runs alive without a slot: %s", trace()).isLessThanOrEqualTo(held);
  }

  /** Checks that no slot is held or asked for and no run goes on. */
  public void checkAllOver() {
    assertThat(states).as(this::trace).doesNotContainValue(SlotState.HELD);
    assertThat(states).as(this::trace).doesNotContainValue(SlotState.UNDECIDED);
    assertThat(runs).as(this::trace).allMatch(r -> r.over);
  }

  /**
   * Checks that the events of a text follow each other, and that each run was asked for its first.
   * Returns the last.
   */
  public long checkText(String text, long after) {
    long last = after;
    int before = -1;
    Matcher data = DATA.matcher(text);
    while (data.find()) {
      int index = Integer.parseInt(data.group(1));
      long id = Long.parseLong(data.group(2));
      assertThat(id).as("event of %s: %s", text, trace()).isEqualTo(last + 1);
      if (index != before) {
        assertThat(runs.get(index).request.resumeAfter().getOrElse(0L))
            .as("position asked of run %d: %s", index, trace())
            .isEqualTo(last);
      }
      before = index;
      last = id;
    }
    return last;
  }
}
