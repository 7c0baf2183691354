package org.waxwingcourse.policy.idempotency;

import io.vavr.control.Option;

/**
 * The stored claim of one idempotency key: written before the call is sent, so that no other host
 * sends it.
 *
 * @param attempt names who claimed the key
 * @param fingerprint digest of method, path and body
 * @param answer the service's answer, none while it is not known
 */
public record Claim(String attempt, String fingerprint, Option<ClaimedAnswer> answer) {
  /** What to do about a key that is claimed already. */
  public enum Verdict {
    /** The claim is our own: its write took effect though its answer was lost. Send the call. */
    OURS,
    /** The call ran; give its answer again. */
    REPLAY,
    /** The call may have run, and its answer is not known. */
    UNKNOWN,
    /** The key belongs to another call. */
    MISMATCH
  }

  /** Compares the stored claim with the one that {@code ours} tried to write. */
  public Verdict judge(Claim ours) {
    if (attempt.equals(ours.attempt)) {
      return Verdict.OURS;
    }
    if (!fingerprint.equals(ours.fingerprint)) {
      return Verdict.MISMATCH;
    }
    return answer.isDefined() ? Verdict.REPLAY : Verdict.UNKNOWN;
  }
}
