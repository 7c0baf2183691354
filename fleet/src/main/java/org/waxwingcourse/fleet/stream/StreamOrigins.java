package org.waxwingcourse.fleet.stream;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.model.time.Deadline;

/**
 * The software that began each stream, for as long as its caller may take it up. A host remembers
 * the streams of its answers, the coordinator those that it has granted.
 *
 * <p>Safe for use by several threads.
 */
public final class StreamOrigins {
  /** Time after the last sign of a stream in which a caller may take it up. */
  public static final Duration RETENTION = Duration.ofSeconds(30);

  /** Most streams remembered: those of the retention at the fleet's highest rate, and a margin. */
  static final int MAX_STREAMS = 131_072;

  /** In the order of the last sign. */
  private final Map<StreamKey, Origin> origins = new LinkedHashMap<>();

  private long lastVersion;

  /**
   * The software of one stream.
   *
   * @param begun whether it has sent events, rather than been granted
   */
  private record Origin(SoftwareId software, Deadline until, long version, boolean begun) {}

  /** A stream, the software that began it, and the number of the change that brought it here. */
  public record Change(StreamKey stream, SoftwareId software, long version) {}

  /** Records the software that has begun a stream, in place of what was recorded before. */
  public synchronized void record(StreamKey stream, SoftwareId software, Instant now) {
    put(stream, software, true, now);
  }

  /**
   * Records that a stream was granted an engine of a software. A grant may reach its host too late
   * to be used, so it does not change which software is known to have begun the stream.
   */
  public synchronized void recordGrant(StreamKey stream, SoftwareId software, Instant now) {
    Option<Origin> known = Option.of(origins.get(stream)).filter(o -> !o.until.isPast(now));
    if (known.exists(o -> o.begun)) {
      put(stream, known.get().software, true, now);
    } else {
      put(stream, software, false, now);
    }
  }

  private void put(StreamKey stream, SoftwareId software, boolean begun, Instant now) {
    origins.remove(stream);
    Deadline until = Deadline.at(now.plus(RETENTION));
    origins.put(stream, new Origin(software, until, ++lastVersion, begun));
    Iterator<Origin> oldest = origins.values().iterator();
    while (oldest.hasNext() && (oldest.next().until.isPast(now) || origins.size() > MAX_STREAMS)) {
      oldest.remove();
    }
  }

  /** Returns the software that began a stream, none if it is not known. */
  public synchronized Option<SoftwareId> find(StreamKey stream, Instant now) {
    return Option.of(origins.get(stream)).filter(o -> !o.until.isPast(now)).map(Origin::software);
  }

  /** Forgets a stream that was granted and is not known to have begun. */
  public synchronized void removeGrant(StreamKey stream) {
    if (Option.of(origins.get(stream)).exists(o -> !o.begun)) {
      origins.remove(stream);
    }
  }

  /** Forgets a stream that has reached its caller whole. */
  public synchronized void remove(StreamKey stream) {
    origins.remove(stream);
  }

  /** Returns the number of the last change, zero before the first. */
  public synchronized long version() {
    return lastVersion;
  }

  /** Returns the first streams that were recorded after the given change, in order. */
  public synchronized List<Change> changesAfter(long version, int max, Instant now) {
    if (version >= lastVersion) {
      return List.of();
    }
    return origins.entrySet().stream()
        .filter(e -> e.getValue().version > version && !e.getValue().until.isPast(now))
        .limit(max)
        .map(e -> new Change(e.getKey(), e.getValue().software, e.getValue().version))
        .toList();
  }
}
