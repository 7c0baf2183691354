package org.waxwingcourse.peer;

import java.util.concurrent.atomic.LongAdder;

/** Thread-safe counters of the peer transport; see {@link PeerStatistics}. */
final class Counters {
  final LongAdder framesSent = new LongAdder();
  final LongAdder bytesSent = new LongAdder();
  final LongAdder framesReceived = new LongAdder();
  final LongAdder bytesReceived = new LongAdder();
  final LongAdder dropped = new LongAdder();
  final LongAdder dials = new LongAdder();
  final LongAdder silences = new LongAdder();
  final LongAdder refused = new LongAdder();

  void sent(int bytes) {
    framesSent.increment();
    bytesSent.add(bytes);
  }

  void received(int bytes) {
    framesReceived.increment();
    bytesReceived.add(bytes);
  }

  PeerStatistics snapshot() {
    return new PeerStatistics(
        framesSent.sum(),
        bytesSent.sum(),
        framesReceived.sum(),
        bytesReceived.sum(),
        dropped.sum(),
        dials.sum(),
        silences.sum(),
        refused.sum());
  }
}
