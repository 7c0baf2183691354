package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * Records the latest time at which the configuration of this host was proved to be the newest one:
 * the time at which a read of the store was sent, by this host or by another host that reports it.
 * A silent watch proves nothing, since its connection may be broken.
 */
public final class FreshnessEvidence {
  private final Clocks clocks;
  private final Runnable peerProofListener;
  private Option<ClockReading> ownRead = Option.none();
  private Option<ClockReading> latestProof = Option.none();

  /**
   * Creates a record without any proof. {@code peerProofListener} is called after each report of
   * another host that is later than all proofs before.
   */
  public FreshnessEvidence(Clocks clocks, Runnable peerProofListener) {
    this.clocks = clocks;
    this.peerProofListener = peerProofListener;
  }

  /**
   * Records a successful read of the store by this host; {@code sentAt} is when the read was sent.
   */
  public synchronized void recordOwnRead(ClockReading sentAt) {
    ownRead = latest(ownRead, sentAt);
    latestProof = latest(latestProof, sentAt);
  }

  /** Records that another host reported a proof of time {@code provenAt}. */
  public void recordPeerProof(ClockReading provenAt) {
    boolean isNew;
    synchronized (this) {
      Option<ClockReading> known = latestProof;
      latestProof = latest(known, provenAt);
      isNew = !latestProof.equals(known);
    }
    if (isNew) {
      peerProofListener.run();
    }
  }

  /** Returns the age of the latest proof, none if there is no proof. */
  public synchronized Option<Duration> age() {
    return latestProof.map(s -> clocks.now().elapsedSince(s));
  }

  /** Returns whether the latest proof is no older than {@code limit}. */
  public boolean isWithin(Duration limit) {
    return age().exists(a -> a.compareTo(limit) <= 0);
  }

  /** Returns whether this host itself has read the store within {@code limit}. */
  public synchronized boolean isOwnReadWithin(Duration limit) {
    return ownRead.exists(s -> clocks.now().elapsedSince(s).compareTo(limit) <= 0);
  }

  private static Option<ClockReading> latest(Option<ClockReading> current, ClockReading candidate) {
    return current
        .filter(h -> !h.steady().isBefore(candidate.steady()))
        .orElse(Option.some(candidate));
  }
}
