package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.model.id.HostId;

/**
 * The streams of the runs that a coordinator has granted. A grant shows which software began a
 * stream, unless its host returns it unused.
 *
 * <p>Safe for use by several threads.
 */
final class GrantedStreams {
  /** Most runs remembered: those of a large fleet, and a margin. */
  private static final int MAX_RUNS = 65_536;

  private final StreamOrigins origins;
  private final Map<RunId, StreamKey> streams =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RunId, StreamKey> eldest) {
          return size() > MAX_RUNS;
        }
      };

  /** Creates the streams of no run; what the grants show is recorded in {@code origins}. */
  GrantedStreams(StreamOrigins origins) {
    this.origins = origins;
  }

  synchronized void recordGrant(RunId run, StreamKey stream, SoftwareId software, Instant now) {
    streams.put(run, stream);
    origins.recordGrant(stream, software, now);
  }

  /** Records the end of a run, which has not been sent if {@code unused}. */
  synchronized void recordEnd(RunId run, boolean unused) {
    Option<StreamKey> stream = Option.of(streams.remove(run));
    if (unused) {
      stream.forEach(origins::removeGrant);
    }
  }

  synchronized void removeHost(HostId host) {
    streams.keySet().removeIf(r -> r.host().equals(host));
  }
}
