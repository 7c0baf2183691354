package org.waxwingcourse.node.dispatch;

import java.time.Instant;
import java.time.InstantSource;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.upstream.engine.EngineCall;

/**
 * One request at the engine's owner, from its place in the queue to its end. A batch stream that
 * yields keeps the tokens it has given and is resumed from there; so is a stream whose connection
 * went silent while the engine answers on a new one.
 */
final class EngineWork implements Call {
  private static final int MAX_RESUMES = 3;
  private static final int OK = 200;

  private final OwnedEngine owner;
  private final InferenceRequest request;
  private final AnswerListener listener;
  private final InstantSource clock;
  private State state = State.WAITING;
  private EngineCall call;
  private boolean yieldFirst;
  private boolean started;
  private int tokens;
  private int resumes;
  private Instant lastToken;

  EngineWork(
      OwnedEngine owner, InferenceRequest request, AnswerListener listener, InstantSource clock) {
    this.owner = owner;
    this.request = request;
    this.listener = listener;
    this.clock = clock;
  }

  private enum State {
    WAITING,
    RUNNING,
    YIELDING,
    ENDED
  }

  InferenceRequest request() {
    return request;
  }

  /** The queue gives the request a slot. */
  void start() {
    EngineCall opened;
    synchronized (this) {
      if (state != State.WAITING) {
        return;
      }
      opened = yieldFirst ? null : open();
      yieldFirst = false;
    }
    if (opened == null) {
      owner.stopped(this);
    } else {
      opened.begin();
    }
  }

  /** The queue takes the slot back. */
  void yieldSlot() {
    EngineCall running;
    synchronized (this) {
      yieldFirst = state == State.WAITING;
      running = state == State.RUNNING ? call : null;
      state = state == State.RUNNING ? State.YIELDING : state;
    }
    if (running != null) {
      owner.cancelOnEngine(request);
      running.cancel();
    }
  }

  /** The engine is blamed; what its caller has seen nothing of can run elsewhere. */
  void giveUp() {
    EngineCall running;
    synchronized (this) {
      if (started) {
        return;
      }
      running = call;
    }
    String message = "engine \"" + owner.engine().id() + "\" does not answer";
    end(running == null ? owner.unavailable(message) : new Outcome.Unknown(message));
    if (running != null) {
      running.cancel();
    }
  }

  @Override
  public void cancel() {
    EngineCall running;
    synchronized (this) {
      running = call;
    }
    if (end(new Outcome.Unknown("request " + request.id() + " was cancelled")) && running != null) {
      owner.cancelOnEngine(request);
      running.cancel();
    }
  }

  /** Ends the request with its final answer; false if it has ended already. */
  boolean end(Outcome outcome) {
    int given;
    synchronized (this) {
      if (state == State.ENDED) {
        return false;
      }
      state = State.ENDED;
      given = tokens;
    }
    owner.ended(this, given);
    listener.onEnd(outcome);
    return true;
  }

  private EngineCall open() {
    state = State.RUNNING;
    lastToken = null;
    Attempt attempt = new Attempt(tokens);
    call =
        tokens > 0
            ? owner.client().openAgain(owner.engine(), request, tokens, attempt)
            : owner.client().open(owner.engine(), request, attempt);
    return call;
  }

  private synchronized void chunk(Attempt attempt, byte[] bytes) {
    if (state == State.ENDED) {
      return;
    }
    Instant now = clock.instant();
    int given = attempt.from + call.tokens();
    if (lastToken != null && given == tokens + 1) {
      owner.observe(lastToken, now);
    }
    lastToken = now;
    tokens = given;
    listener.onChunk(bytes);
  }

  private synchronized void started(int status, String contentType) {
    if (state != State.ENDED && !started) {
      started = true;
      listener.onStart(status, contentType);
    }
  }

  private void attemptEnded(Outcome outcome) {
    boolean yielded = false;
    synchronized (this) {
      if (state == State.YIELDING && !(outcome instanceof Outcome.Done)) {
        state = State.WAITING;
        yielded = true;
      }
    }
    if (yielded) {
      owner.stopped(this);
    } else if (outcome instanceof Outcome.Unknown && mayResume()) {
      owner.probe(alive -> afterProbe(alive, outcome));
    } else {
      owner.judge(outcome);
      end(outcome);
    }
  }

  private synchronized boolean mayResume() {
    boolean inTime = !request.deadline().isPast(clock.instant());
    return state == State.RUNNING && tokens > 0 && inTime && resumes++ < MAX_RESUMES;
  }

  private void afterProbe(boolean alive, Outcome outcome) {
    if (!alive) {
      owner.judge(outcome);
      end(outcome);
      return;
    }
    EngineCall opened = null;
    synchronized (this) {
      if (state == State.RUNNING) {
        opened = open();
      } else if (state == State.YIELDING) {
        state = State.WAITING;
      }
    }
    if (opened != null) {
      opened.begin();
    } else {
      owner.stopped(this);
    }
  }

  /** One connection's part of the answer. */
  private final class Attempt implements AnswerListener {
    private final int from;
    private boolean lost;

    private Attempt(int from) {
      this.from = from;
    }

    @Override
    public void onStart(int status, String contentType) {
      lost = from > 0 && status != OK;
      if (!lost) {
        started(status, contentType);
      }
    }

    @Override
    public void onChunk(byte[] bytes) {
      if (!lost) {
        chunk(this, bytes);
      }
    }

    @Override
    public void onEnd(Outcome outcome) {
      boolean cut = lost || from > 0 && outcome instanceof Outcome.Refused;
      attemptEnded(cut ? new Outcome.Unknown("the engine lost its answer") : outcome);
    }
  }
}
