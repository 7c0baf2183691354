package org.waxwingcourse.fleet.stream;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.model.id.ServiceName;

/**
 * Which software the engines of each service have had lately. If there was only one for as long as
 * a stream can be taken up, any stream of the service was begun by it.
 *
 * <p>Safe for use by several threads.
 */
public final class SoftwareHistory {
  private final Map<ServiceName, ServiceHistory> services = new HashMap<>();
  private volatile BooleanSupplier current = () -> true;
  private Instant restartedAt = Instant.MIN;

  /** The software of one service. */
  private static final class ServiceHistory {
    private final Instant since;

    /** When each software was listed last; {@link Instant#MAX} while it is. */
    private final Map<SoftwareId, Instant> lastListed = new HashMap<>();

    ServiceHistory(Instant since) {
      this.since = since;
    }
  }

  /** Sets what tells whether the engines listed here are those that the store lists now. */
  public void setCurrent(BooleanSupplier newCurrent) {
    current = newCurrent;
  }

  /** Begins anew: engines may have come and gone unseen before {@code now}. */
  public synchronized void restart(Instant now) {
    restartedAt = now;
  }

  /** Records the engines that are listed now. */
  public synchronized void update(Collection<EngineEntry> listed, Instant now) {
    for (ServiceHistory service : services.values()) {
      service.lastListed.replaceAll((s, last) -> last.equals(Instant.MAX) ? now : last);
      service.lastListed.values().removeIf(last -> isOver(last, now));
    }
    for (EngineEntry engine : listed) {
      services
          .computeIfAbsent(engine.service(), s -> new ServiceHistory(now))
          .lastListed
          .put(engine.software(), Instant.MAX);
    }
  }

  /**
   * Returns the only software that can have begun a stream of a service, none if there are several
   * or this host has not known the engines for long enough.
   */
  public synchronized Option<SoftwareId> only(ServiceName service, Instant now) {
    ServiceHistory history = services.get(service);
    boolean isLongEnough =
        history != null && isOver(history.since, now) && isOver(restartedAt, now);
    if (!isLongEnough || !current.getAsBoolean()) {
      return Option.none();
    }
    List<SoftwareId> recent =
        history.lastListed.entrySet().stream()
            .filter(e -> !isOver(e.getValue(), now))
            .map(Map.Entry::getKey)
            .toList();
    return Option.when(recent.size() == 1, () -> recent.get(0));
  }

  private static boolean isOver(Instant last, Instant now) {
    return last.isBefore(now.minus(StreamOrigins.RETENTION));
  }
}
