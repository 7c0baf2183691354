package org.waxwingcourse.policy.member;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.member.MemberState;
import org.waxwingcourse.model.time.Deadline;

/**
 * The state of all members as known to this host. An update is compared with the known state when
 * it is applied: a higher incarnation takes precedence, and within an incarnation each of the
 * states alive, suspect, leaving and dead takes precedence over those before it.
 *
 * <p>An update that reports a member dead is treated as a suspicion. A member becomes dead in this
 * table only when its suspicion expires here or when it is reported dead after it was known to be
 * leaving. Two sides of a healed partition therefore do not declare each other's members dead. Not
 * thread-safe.
 */
final class MemberTable {
  /** Result of applying an update. */
  enum UpdateResult {
    /** The update is not newer than the known state. */
    IGNORED,
    /**
     * The update reports a member that is dead in this table as not dead, without a higher
     * incarnation.
     */
    DISPUTED,
    /** The update changed the table. */
    APPLIED
  }

  private static final class Entry {
    Member member;
    Deadline suspicionDeadline;
    Deadline removalDeadline;

    Entry(Member member) {
      this.member = member;
    }
  }

  private final HostId self;
  private final MembershipSettings settings;
  private final Map<HostId, Entry> entries = new HashMap<>();
  private boolean changed;

  MemberTable(Member self, MembershipSettings settings) {
    this.self = self.id();
    this.settings = settings;
    entries.put(self.id(), new Entry(self));
  }

  Member self() {
    return entries.get(self).member;
  }

  void setSelf(Member member) {
    entries.get(self).member = member;
    changed = true;
  }

  Optional<Member> find(HostId host) {
    return Optional.ofNullable(entries.get(host)).map(e -> e.member);
  }

  /** Returns the number of known hosts, including dead ones. */
  int size() {
    return entries.size();
  }

  /** Returns all members, including dead ones. */
  List<Member> all() {
    return entries.values().stream().map(e -> e.member).toList();
  }

  /** Returns the members in the given states, excluding this host, in the order of host names. */
  List<Member> others(MemberState... states) {
    List<MemberState> wanted = List.of(states);
    List<Member> found = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (!e.member.id().equals(self) && wanted.contains(e.member.state())) {
        found.add(e.member);
      }
    }
    found.sort((a, b) -> a.id().compareTo(b.id()));
    return found;
  }

  /** Applies an update about another host. */
  UpdateResult apply(MemberUpdate update, Instant now) {
    Entry known = entries.get(update.host());
    if (known == null) {
      return insert(update, now);
    }
    if (update.incarnation() > known.member.incarnation()) {
      return applyNewIncarnation(known, update, now);
    }
    if (update.incarnation() < known.member.incarnation()) {
      return UpdateResult.IGNORED;
    }
    MemberState before = known.member.state();
    if (before == MemberState.DEAD && update.state() != MemberState.DEAD) {
      return UpdateResult.DISPUTED;
    }
    return update.state().compareTo(before) > 0
        ? applyNewState(known, update.state(), now)
        : UpdateResult.IGNORED;
  }

  private UpdateResult insert(MemberUpdate update, Instant now) {
    if (update.location().isEmpty() || update.state() == MemberState.DEAD) {
      return UpdateResult.IGNORED;
    }
    Entry entry = new Entry(update.member(update.location().get()));
    entries.put(update.host(), entry);
    startTimers(entry, now);
    return UpdateResult.APPLIED;
  }

  private UpdateResult applyNewIncarnation(Entry known, MemberUpdate update, Instant now) {
    boolean wasDead = known.member.state() == MemberState.DEAD;
    if (update.location().isEmpty() || (wasDead && update.state() == MemberState.DEAD)) {
      return UpdateResult.IGNORED;
    }
    boolean wasLeaving = known.member.state() == MemberState.LEAVING;
    Member updated = update.member(update.location().get());
    boolean treatAsSuspicion = update.state() == MemberState.DEAD && !wasLeaving;
    known.member = treatAsSuspicion ? updated.in(MemberState.SUSPECT) : updated;
    startTimers(known, now);
    return UpdateResult.APPLIED;
  }

  private UpdateResult applyNewState(Entry known, MemberState newState, Instant now) {
    MemberState before = known.member.state();
    if (newState == MemberState.DEAD && before == MemberState.SUSPECT) {
      return UpdateResult.IGNORED;
    }
    boolean treatAsSuspicion = newState == MemberState.DEAD && before == MemberState.ALIVE;
    known.member = known.member.in(treatAsSuspicion ? MemberState.SUSPECT : newState);
    startTimers(known, now);
    return UpdateResult.APPLIED;
  }

  private void startTimers(Entry entry, Instant now) {
    changed = true;
    MemberState state = entry.member.state();
    entry.suspicionDeadline = state == MemberState.SUSPECT ? newSuspicionDeadline(now) : null;
    entry.removalDeadline =
        state == MemberState.DEAD ? Deadline.at(now.plus(settings.deadRetention())) : null;
  }

  private Deadline newSuspicionDeadline(Instant now) {
    return Deadline.at(now.plus(settings.suspicionTimeout(entries.size())));
  }

  /**
   * Starts the suspicion timer of a member after a failed probe. A leaving member keeps its state.
   */
  boolean suspect(HostId host, Instant now) {
    Entry entry = entries.get(host);
    if (entry == null
        || entry.suspicionDeadline != null
        || entry.member.state() == MemberState.DEAD) {
      return false;
    }
    if (entry.member.state() == MemberState.ALIVE) {
      entry.member = entry.member.in(MemberState.SUSPECT);
      changed = true;
    }
    entry.suspicionDeadline = newSuspicionDeadline(now);
    return true;
  }

  /**
   * Records that a message from a host was received, which ends the suspicion of a leaving member.
   */
  void onMessageFrom(HostId host) {
    Entry entry = entries.get(host);
    if (entry != null && entry.member.state() == MemberState.LEAVING) {
      entry.suspicionDeadline = null;
    }
  }

  /**
   * Restarts all suspicion timers after a pause of this process, because no refutation could be
   * received during it.
   */
  void restartSuspicions(Instant now) {
    for (Entry e : entries.values()) {
      if (e.suspicionDeadline != null) {
        e.suspicionDeadline = newSuspicionDeadline(now);
      }
    }
  }

  /** Marks members whose suspicion has expired as dead and returns them. */
  List<Member> expireSuspicions(Instant now) {
    List<Member> newlyDead = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.suspicionDeadline != null && e.suspicionDeadline.isPast(now)) {
        e.member = e.member.in(MemberState.DEAD);
        startTimers(e, now);
        newlyDead.add(e.member);
      }
    }
    return newlyDead;
  }

  /** Removes dead members that have been kept long enough. */
  void removeDead(Instant now) {
    for (Iterator<Entry> all = entries.values().iterator(); all.hasNext(); ) {
      Entry e = all.next();
      if (e.removalDeadline != null && e.removalDeadline.isPast(now)) {
        all.remove();
        changed = true;
      }
    }
  }

  /** Returns a digest of the members that are not dead. It does not depend on their order. */
  long digest() {
    long sum = 0;
    for (Entry e : entries.values()) {
      Member m = e.member;
      if (m.state() != MemberState.DEAD) {
        String text = m.id() + " " + m.incarnation() + " " + (m.state() == MemberState.LEAVING);
        sum += Hashing.farmHashFingerprint64().hashString(text, StandardCharsets.UTF_8).asLong();
      }
    }
    return sum;
  }

  /** Returns whether a member has changed since the last call. */
  boolean takeChanged() {
    boolean result = changed;
    changed = false;
    return result;
  }
}
