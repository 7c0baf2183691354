package org.waxwingcourse.policy.idempotency;

import io.vavr.control.Option;

/**
 * The stored claim on one idempotency key. It is written before the call is sent, so that no other
 * host sends the same call.
 *
 * @param attempt identifies the attempt that claimed the key
 * @param fingerprint digest of method, path and body
 * @param answer the service's response, or none while it is unknown
 */
public record Claim(String attempt, String fingerprint, Option<ClaimedAnswer> answer) {
  /** How to proceed with a key that has already been claimed. */
  public enum Verdict {
    /**
     * This attempt wrote the claim: the write succeeded although the response to it was lost. The
     * call is sent.
     */
    OURS,
    /** The call ran; its response is returned again. */
    REPLAY,
    /** The call may have run, and its response is unknown. */
    UNKNOWN,
    /** The key was used for a different call. */
    MISMATCH
  }

  /** Compares the stored claim with the claim that this attempt tried to write. */
  public Verdict judge(Claim attempted) {
    if (attempt.equals(attempted.attempt)) {
      return Verdict.OURS;
    }
    if (!fingerprint.equals(attempted.fingerprint)) {
      return Verdict.MISMATCH;
    }
    return answer.isDefined() ? Verdict.REPLAY : Verdict.UNKNOWN;
  }
}
