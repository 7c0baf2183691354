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
 * Executes a non-repeatable call at most once for each idempotency key, whichever hosts its client
 * sends it to. The key is claimed in the platform's store before the call is sent; a host that
 * finds the key claimed returns the stored answer or an unknown outcome. While the store is
 * unavailable no call is sent, so that a refusal as "not run" is correct.
 */
public final class AtMostOnceServiceDispatcher implements ServiceDispatcher {
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final String KEY_PREFIX = "/waxwing/idempotency/";
  private static final int MAX_STORED_ANSWER_BYTES = 64 << 10;
  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

  private final ServiceDispatcher next;
  private final ClaimStore claims;
  private final InstantSource clock;

  /** Creates a dispatcher that passes calls on to {@code next}. */
  public AtMostOnceServiceDispatcher(ServiceDispatcher next, Store store, InstantSource clock) {
    this.next = next;
    this.claims = new ClaimStore(store, clock);
    this.clock = clock;
  }

  @Override
  public Call submit(ServiceRequest request, AnswerListener listener) {
    Option<String> key = storeKeyOf(request);
    if (request.call().service().repeatable() || key.isEmpty()) {
      return next.submit(request, listener);
    }
    Claim claim = new Claim(UUID.randomUUID().toString(), fingerprint(request), Option.none());
    ClaimedCall call = new ClaimedCall(request, listener, key.get(), claim);
    call.createClaim(true);
    return () -> {};
  }

  private static Option<String> storeKeyOf(ServiceRequest request) {
    for (Header header : request.call().headers()) {
      if (header.name().equalsIgnoreCase(IDEMPOTENCY_KEY_HEADER)) {
        String owner = request.organisation().map(o -> "organisation/" + o).getOrElse("open");
        String service = request.call().service().name().value();
        String hash =
            Hashing.sha256().hashString(header.value(), StandardCharsets.UTF_8).toString();
        return Option.some(KEY_PREFIX + owner + "/" + service + "/" + hash);
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

  /** A call with its idempotency key. */
  private final class ClaimedCall {
    private final ServiceRequest request;
    private final AnswerListener listener;
    private final String key;
    private final Claim claim;

    private ClaimedCall(ServiceRequest request, AnswerListener listener, String key, Claim claim) {
      this.request = request;
      this.listener = listener;
      this.key = key;
      this.claim = claim;
    }

    private void createClaim(boolean mayRetry) {
      claims.createClaim(key, claim).thenAccept(outcome -> onClaimWritten(outcome, mayRetry));
    }

    private void onClaimWritten(WriteOutcome outcome, boolean mayRetry) {
      if (outcome instanceof WriteOutcome.Done done) {
        send(done.revision());
      } else if (outcome instanceof WriteOutcome.Lost lost) {
        onClaimExists(lost);
      } else if (outcome instanceof WriteOutcome.Unknown && mayRetry) {
        createClaim(false);
      } else {
        reject(RefusalCode.UNAVAILABLE, "the platform store does not respond");
      }
    }

    private void onClaimExists(WriteOutcome.Lost lost) {
      Option<Claim> stored =
          lost.current().isEmpty()
              ? Option.none()
              : ClaimStore.decode(lost.current().get(0).value());
      Claim.Verdict verdict = stored.map(s -> s.judge(claim)).getOrElse(Claim.Verdict.UNKNOWN);
      switch (verdict) {
        case OURS -> send(lost.current().get(0).modified());
        case REPLAY -> replay(stored.get().answer().get());
        case MISMATCH ->
            reject(
                RefusalCode.INVALID_REQUEST,
                "header \""
                    + IDEMPOTENCY_KEY_HEADER
                    + "\" was already used with a different request");
        default ->
            listener.onEnd(
                new Outcome.Unknown("a request with this key was sent before and may have run"));
      }
    }

    private void send(Revision claimRevision) {
      if (request.call().deadline().isPast(clock.instant())) {
        releaseClaim(
            claimRevision,
            refusal(RefusalCode.OVERLOADED, "the deadline passed before the request was sent"));
      } else {
        next.submit(request, new AnswerRecorder(claimRevision));
      }
    }

    private void replay(ClaimedAnswer answer) {
      listener.onStart(answer.status(), answer.contentType());
      listener.onChunk(answer.body());
      listener.onEnd(new Outcome.Done());
    }

    private void reject(RefusalCode code, String message) {
      listener.onEnd(refusal(code, message));
    }

    private Outcome refusal(RefusalCode code, String message) {
      Instant retryAt = clock.instant().plus(RETRY_DELAY);
      return new Outcome.Refused(new Refusal(code, message, retryAt));
    }

    /**
     * Removes the claim before the end is reported, so that an immediate retry can claim the key.
     */
    private void releaseClaim(Revision claimRevision, Outcome outcome) {
      claims.removeClaim(key, claimRevision).thenAccept(removed -> listener.onEnd(outcome));
    }

    /** Stores the answer with the claim and passes it on. */
    private final class AnswerRecorder implements AnswerListener {
      private final Revision claimRevision;
      private final ByteArrayOutputStream body = new ByteArrayOutputStream();
      private int status;
      private String type;

      private AnswerRecorder(Revision claimRevision) {
        this.claimRevision = claimRevision;
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
          releaseClaim(claimRevision, outcome);
          return;
        }
        if (outcome instanceof Outcome.Done && body.size() <= MAX_STORED_ANSWER_BYTES) {
          ClaimedAnswer answer = new ClaimedAnswer(status, type, body.toByteArray());
          Claim claimWithAnswer =
              new Claim(claim.attempt(), claim.fingerprint(), Option.some(answer));
          claims.storeAnswer(key, claimWithAnswer, claimRevision);
        }
        listener.onEnd(outcome);
      }
    }
  }
}
