package org.waxwingcourse.node.dispatch;

import java.time.Instant;
import java.time.InstantSource;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.upstream.engine.EngineCall;

/**
 * A request at the owner of its engine, from its place in the queue to its end. A batch stream that
 * yields its slot keeps the tokens already received and is resumed after them. A stream whose
 * connection became silent is resumed in the same way if the engine responds on a new connection.
 */
final class QueuedRequest implements Call {
  private static final int MAX_RESUMES = 3;
  private static final int OK = 200;

  private final OwnedEngine owner;
  private final InferenceRequest request;
  private final AnswerListener listener;
  private final InstantSource clock;
  private State state = State.WAITING;
  private EngineCall call;
  private boolean yieldBeforeStart;
  private boolean responseStarted;
  private int tokens;
  private int resumes;
  private Instant lastToken;

  QueuedRequest(
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

  /** Starts or resumes the request; called when the queue assigns a slot to it. */
  void start() {
    EngineCall openedCall;
    synchronized (this) {
      if (state != State.WAITING) {
        return;
      }
      openedCall = yieldBeforeStart ? null : openCall();
      yieldBeforeStart = false;
    }
    if (openedCall == null) {
      owner.onRequestYielded(this);
    } else {
      openedCall.begin();
    }
  }

  /** Interrupts the request; called when the queue takes its slot back. */
  void yieldSlot() {
    EngineCall runningCall;
    synchronized (this) {
      yieldBeforeStart = state == State.WAITING;
      runningCall = state == State.RUNNING ? call : null;
      state = state == State.RUNNING ? State.YIELDING : state;
    }
    if (runningCall != null) {
      owner.cancelOnEngine(request);
      runningCall.cancel();
    }
  }

  /**
   * Ends the request if its caller has received no part of a response, so that it can run on
   * another engine; called when the engine is ejected.
   */
  void endIfNotStarted() {
    EngineCall runningCall;
    synchronized (this) {
      if (responseStarted) {
        return;
      }
      runningCall = call;
    }
    String message = "engine \"" + owner.engine().id() + "\" does not respond";
    end(runningCall == null ? owner.unavailable(message) : new Outcome.Unknown(message));
    if (runningCall != null) {
      runningCall.cancel();
    }
  }

  @Override
  public void cancel() {
    EngineCall runningCall;
    synchronized (this) {
      runningCall = call;
    }
    if (end(new Outcome.Unknown("request " + request.id() + " was cancelled"))
        && runningCall != null) {
      owner.cancelOnEngine(request);
      runningCall.cancel();
    }
  }

  /** Ends the request with its final outcome; returns false if it has ended already. */
  boolean end(Outcome outcome) {
    int totalTokens;
    synchronized (this) {
      if (state == State.ENDED) {
        return false;
      }
      state = State.ENDED;
      totalTokens = tokens;
    }
    owner.onRequestEnded(this, totalTokens);
    listener.onEnd(outcome);
    return true;
  }

  private EngineCall openCall() {
    state = State.RUNNING;
    lastToken = null;
    ConnectionListener connection = new ConnectionListener(tokens);
    call =
        tokens > 0
            ? owner.client().openAgain(owner.engine(), request, tokens, connection)
            : owner.client().open(owner.engine(), request, connection);
    return call;
  }

  private synchronized void forwardChunk(ConnectionListener connection, byte[] bytes) {
    if (state == State.ENDED) {
      return;
    }
    Instant now = clock.instant();
    int totalTokens = connection.fromToken + call.tokens();
    if (lastToken != null && totalTokens == tokens + 1) {
      owner.recordTokenInterval(lastToken, now);
    }
    lastToken = now;
    tokens = totalTokens;
    listener.onChunk(bytes);
  }

  private synchronized void forwardStart(int status, String contentType) {
    if (state != State.ENDED && !responseStarted) {
      responseStarted = true;
      listener.onStart(status, contentType);
    }
  }

  private void onConnectionEnded(Outcome outcome) {
    boolean yielded = false;
    synchronized (this) {
      if (state == State.YIELDING && !(outcome instanceof Outcome.Done)) {
        state = State.WAITING;
        yielded = true;
      }
    }
    if (yielded) {
      owner.onRequestYielded(this);
    } else if (outcome instanceof Outcome.Unknown && mayResume()) {
      owner.probe(alive -> onProbeResult(alive, outcome));
    } else {
      owner.recordOutcome(outcome);
      end(outcome);
    }
  }

  private synchronized boolean mayResume() {
    boolean inTime = !request.deadline().isPast(clock.instant());
    return state == State.RUNNING && tokens > 0 && inTime && resumes++ < MAX_RESUMES;
  }

  private void onProbeResult(boolean alive, Outcome outcome) {
    if (!alive) {
      owner.recordOutcome(outcome);
      end(outcome);
      return;
    }
    EngineCall openedCall = null;
    synchronized (this) {
      if (state == State.RUNNING) {
        openedCall = openCall();
      } else if (state == State.YIELDING) {
        state = State.WAITING;
      }
    }
    if (openedCall != null) {
      openedCall.begin();
    } else {
      owner.onRequestYielded(this);
    }
  }

  /** Receives the part of the response that comes over one connection. */
  private final class ConnectionListener implements AnswerListener {
    private final int fromToken;
    private boolean responseLost;

    private ConnectionListener(int fromToken) {
      this.fromToken = fromToken;
    }

    @Override
    public void onStart(int status, String contentType) {
      responseLost = fromToken > 0 && status != OK;
      if (!responseLost) {
        forwardStart(status, contentType);
      }
    }

    @Override
    public void onChunk(byte[] bytes) {
      if (!responseLost) {
        forwardChunk(this, bytes);
      }
    }

    @Override
    public void onEnd(Outcome outcome) {
      boolean notResumable = responseLost || fromToken > 0 && outcome instanceof Outcome.Refused;
      onConnectionEnded(
          notResumable
              ? new Outcome.Unknown("the engine can no longer resume the response")
              : outcome);
    }
  }
}
