package org.waxwingcourse.node.dispatch;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.UUID;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.policy.idempotency.Claim;
import org.waxwingcourse.policy.idempotency.ClaimedAnswer;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Lets a call that may not be repeated run at most once for each idempotency key, whichever hosts
 * its client sends it to. The key is claimed in the platform's store before the call is sent;
 * whoever finds it claimed gives the kept answer or says that the outcome is unknown. Without the
 * store nothing is sent, so the refusal "not run" is true.
 */
public final class OnceServiceDispatcher implements ServiceDispatcher {
  private static final String HEADER = "Idempotency-Key";
  private static final String PREFIX = "/waxwing/idempotency/";
  private static final int MAX_KEPT_BYTES = 64 << 10;
  private static final Duration COME_BACK = Duration.ofSeconds(2);

  private final ServiceDispatcher next;
  private final ClaimStore claims;
  private final InstantSource clock;

  /** Creates a dispatcher that hands calls on to {@code next}. */
  public OnceServiceDispatcher(ServiceDispatcher next, Store store, InstantSource clock) {
    this.next = next;
    this.claims = new ClaimStore(store, clock);
    this.clock = clock;
  }

  @Override
  public Call submit(ServiceRequest request, AnswerListener listener) {
    Option<String> key = keyOf(request);
    if (request.call().service().repeatable() || key.isEmpty()) {
      return next.submit(request, listener);
    }
    Claim claim = new Claim(UUID.randomUUID().toString(), fingerprint(request), Option.none());
    Once once = new Once(request, listener, key.get(), claim);
    once.claim(true);
    return () -> {};
  }

  private static Option<String> keyOf(ServiceRequest request) {
    for (Header header : request.call().headers()) {
      if (header.name().equalsIgnoreCase(HEADER)) {
        String owner = request.organisation().map(o -> "organisation/" + o).getOrElse("open");
        String service = request.call().service().name().value();
        String hash =
            Hashing.sha256().hashString(header.value(), StandardCharsets.UTF_8).toString();
        return Option.some(PREFIX + owner + "/" + service + "/" + hash);
      }
    }
    return Option.none();
  }

  private static String fingerprint(ServiceRequest request) {
    Hasher hasher = Hashing.sha256().newHasher();
    hasher.putString(request.call().method(), StandardCharsets.UTF_8).putByte((byte) 0);
    hasher.putString(request.call().path(), StandardCharsets.UTF_8).putByte((byte) 0);
    return hasher.putBytes(request.call().body()).hash().toString();
  }

  /** One call under its key. */
  private final class Once {
    private final ServiceRequest request;
    private final AnswerListener listener;
    private final String key;
    private final Claim claim;

    private Once(ServiceRequest request, AnswerListener listener, String key, Claim claim) {
      this.request = request;
      this.listener = listener;
      this.key = key;
      this.claim = claim;
    }

    private void claim(boolean mayAskAgain) {
      claims.create(key, claim).thenAccept(outcome -> claimed(outcome, mayAskAgain));
    }

    private void claimed(WriteOutcome outcome, boolean mayAskAgain) {
      if (outcome instanceof WriteOutcome.Done done) {
        send(done.revision());
      } else if (outcome instanceof WriteOutcome.Lost lost) {
        found(lost);
      } else if (outcome instanceof WriteOutcome.Unknown && mayAskAgain) {
        claim(false);
      } else {
        refuse(RefusalCode.UNAVAILABLE, "the platform store does not answer");
      }
    }

    private void found(WriteOutcome.Lost lost) {
      Option<Claim> stored =
          lost.current().isEmpty()
              ? Option.none()
              : ClaimStore.decode(lost.current().get(0).value());
      Claim.Verdict verdict = stored.map(s -> s.judge(claim)).getOrElse(Claim.Verdict.UNKNOWN);
      switch (verdict) {
        case OURS -> send(lost.current().get(0).modified());
        case REPLAY -> replay(stored.get().answer().get());
        case MISMATCH ->
            refuse(
                RefusalCode.INVALID_REQUEST,
                "header \"" + HEADER + "\" was used with another request before");
        default ->
            listener.onEnd(new Outcome.Unknown("the request was sent before and may have run"));
      }
    }

    private void send(Revision claimed) {
      if (request.call().deadline().isPast(clock.instant())) {
        release(claimed, refusal(RefusalCode.OVERLOADED, "the deadline passed before sending"));
      } else {
        next.submit(request, new Keeper(claimed));
      }
    }

    private void replay(ClaimedAnswer answer) {
      listener.onStart(answer.status(), answer.contentType());
      listener.onChunk(answer.body());
      listener.onEnd(new Outcome.Done());
    }

    private void refuse(RefusalCode code, String message) {
      listener.onEnd(refusal(code, message));
    }

    private Outcome refusal(RefusalCode code, String message) {
      Instant retryAt = clock.instant().plus(COME_BACK);
      return new Outcome.Refused(new Refusal(code, message, retryAt));
    }

    /** Frees the key first, so that a client that comes back at once finds it free. */
    private void release(Revision claimed, Outcome outcome) {
      claims.remove(key, claimed).thenAccept(removed -> listener.onEnd(outcome));
    }

    /** Keeps the answer with the claim and hands it on. */
    private final class Keeper implements AnswerListener {
      private final Revision claimed;
      private final ByteArrayOutputStream body = new ByteArrayOutputStream();
      private int status;
      private String type;

      private Keeper(Revision claimed) {
        this.claimed = claimed;
      }

      @Override
      public void onStart(int newStatus, String contentType) {
        status = newStatus;
        type = contentType;
        listener.onStart(newStatus, contentType);
      }

      @Override
      public void onChunk(byte[] bytes) {
        body.writeBytes(bytes);
        listener.onChunk(bytes);
      }

      @Override
      public void onEnd(Outcome outcome) {
        if (outcome instanceof Outcome.Refused) {
          release(claimed, outcome);
          return;
        }
        if (outcome instanceof Outcome.Done && body.size() <= MAX_KEPT_BYTES) {
          ClaimedAnswer answer = new ClaimedAnswer(status, type, body.toByteArray());
          Claim kept = new Claim(claim.attempt(), claim.fingerprint(), Option.some(answer));
          claims.answer(key, kept, claimed);
        }
        listener.onEnd(outcome);
      }
    }
  }
}
