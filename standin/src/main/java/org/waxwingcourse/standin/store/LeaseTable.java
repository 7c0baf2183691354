package org.waxwingcourse.standin.store;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;

/** Leases with their deadlines. Not thread-safe. */
final class LeaseTable {
  private record LeaseState(Duration timeToLive, Deadline deadline) {}

  private final Map<LeaseId, LeaseState> leases = new HashMap<>();
  private long lastId;

  Lease grant(Duration timeToLive, Instant now) {
    LeaseId id = LeaseId.of(++lastId);
    return setDeadline(id, timeToLive, now);
  }

  Optional<Lease> renew(LeaseId id, Instant now) {
    return Optional.ofNullable(leases.get(id)).map(old -> setDeadline(id, old.timeToLive(), now));
  }

  boolean remove(LeaseId id) {
    return leases.remove(id) != null;
  }

  boolean isNoneOrGranted(LeaseId id) {
    return id.equals(LeaseId.NONE) || leases.containsKey(id);
  }

  List<LeaseId> expired(Instant now) {
    return leases.entrySet().stream()
        .filter(entry -> entry.getValue().deadline().isPast(now))
        .map(Map.Entry::getKey)
        .toList();
  }

  private Lease setDeadline(LeaseId id, Duration timeToLive, Instant now) {
    Deadline deadline = Deadline.at(now.plus(timeToLive));
    leases.put(id, new LeaseState(timeToLive, deadline));
    return new Lease(id, deadline);
  }
}
