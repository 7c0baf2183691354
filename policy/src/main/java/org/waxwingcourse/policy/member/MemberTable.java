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
 * What this host believes of the others. Versions are compared where an update is applied: a higher
 * incarnation wins, and within one incarnation alive, suspect, leaving and dead win in this order.
 *
 * <p>A rumour of death counts as a suspicion: only a host's own timer or a leaving host's last word
 * makes it dead here, so that the tables of two sides of a cut do not kill each other's members
 * when they meet. Not safe for use by several threads.
 */
final class MemberTable {
  /** What became of an update. */
  enum Verdict {
    /** It is older than, or the same as, what is known. */
    IGNORED,
    /** It says that a host lives which is dead here, without a higher incarnation. */
    DISPUTED,
    /** It changed the table. */
    APPLIED
  }

  private static final class Entry {
    Member member;
    Deadline suspectUntil;
    Deadline forgetAt;

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

  /** Returns how many hosts are known, dead ones included. */
  int size() {
    return entries.size();
  }

  /** Returns all members, dead ones included. */
  List<Member> all() {
    return entries.values().stream().map(e -> e.member).toList();
  }

  /** Returns the other members in the given states. */
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
  Verdict apply(MemberUpdate update, Instant now) {
    Entry known = entries.get(update.host());
    if (known == null) {
      return insert(update, now);
    }
    if (update.incarnation() > known.member.incarnation()) {
      return renew(known, update, now);
    }
    if (update.incarnation() < known.member.incarnation()) {
      return Verdict.IGNORED;
    }
    MemberState before = known.member.state();
    if (before == MemberState.DEAD && update.state() != MemberState.DEAD) {
      return Verdict.DISPUTED;
    }
    return update.state().compareTo(before) > 0
        ? turn(known, update.state(), now)
        : Verdict.IGNORED;
  }

  private Verdict insert(MemberUpdate update, Instant now) {
    if (update.location().isEmpty() || update.state() == MemberState.DEAD) {
      return Verdict.IGNORED;
    }
    Entry entry = new Entry(update.member(update.location().get()));
    entries.put(update.host(), entry);
    startTimers(entry, now);
    return Verdict.APPLIED;
  }

  private Verdict renew(Entry known, MemberUpdate update, Instant now) {
    boolean left = known.member.state() == MemberState.DEAD;
    if (update.location().isEmpty() || (left && update.state() == MemberState.DEAD)) {
      return Verdict.IGNORED;
    }
    boolean word = known.member.state() == MemberState.LEAVING;
    Member renewed = update.member(update.location().get());
    boolean rumour = update.state() == MemberState.DEAD && !word;
    known.member = rumour ? renewed.in(MemberState.SUSPECT) : renewed;
    startTimers(known, now);
    return Verdict.APPLIED;
  }

  private Verdict turn(Entry known, MemberState to, Instant now) {
    MemberState before = known.member.state();
    if (to == MemberState.DEAD && before == MemberState.SUSPECT) {
      return Verdict.IGNORED;
    }
    boolean rumour = to == MemberState.DEAD && before == MemberState.ALIVE;
    known.member = known.member.in(rumour ? MemberState.SUSPECT : to);
    startTimers(known, now);
    return Verdict.APPLIED;
  }

  private void startTimers(Entry entry, Instant now) {
    changed = true;
    MemberState state = entry.member.state();
    entry.suspectUntil = state == MemberState.SUSPECT ? suspicionEnd(now) : null;
    entry.forgetAt =
        state == MemberState.DEAD ? Deadline.at(now.plus(settings.forgetAfter())) : null;
  }

  private Deadline suspicionEnd(Instant now) {
    return Deadline.at(now.plus(settings.suspicionTimeout(entries.size())));
  }

  /** Starts a suspicion of this host's own; a leaving host stays leaving meanwhile. */
  boolean suspect(HostId host, Instant now) {
    Entry entry = entries.get(host);
    if (entry == null || entry.suspectUntil != null || entry.member.state() == MemberState.DEAD) {
      return false;
    }
    if (entry.member.state() == MemberState.ALIVE) {
      entry.member = entry.member.in(MemberState.SUSPECT);
      changed = true;
    }
    entry.suspectUntil = suspicionEnd(now);
    return true;
  }

  /** Records a message from a host: one that is leaving is still there. */
  void heard(HostId host) {
    Entry entry = entries.get(host);
    if (entry != null && entry.member.state() == MemberState.LEAVING) {
      entry.suspectUntil = null;
    }
  }

  /** Begins all suspicions anew, for time in which this host stood still proves nothing. */
  void restartSuspicions(Instant now) {
    for (Entry e : entries.values()) {
      if (e.suspectUntil != null) {
        e.suspectUntil = suspicionEnd(now);
      }
    }
  }

  /** Turns suspects dead whose time has passed and returns them. */
  List<Member> expire(Instant now) {
    List<Member> died = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.suspectUntil != null && e.suspectUntil.isPast(now)) {
        e.member = e.member.in(MemberState.DEAD);
        startTimers(e, now);
        died.add(e.member);
      }
    }
    return died;
  }

  /** Forgets dead hosts whose time has passed. */
  void forget(Instant now) {
    for (Iterator<Entry> all = entries.values().iterator(); all.hasNext(); ) {
      Entry e = all.next();
      if (e.forgetAt != null && e.forgetAt.isPast(now)) {
        all.remove();
        changed = true;
      }
    }
  }

  /** Returns a digest that is equal where the hosts that are not dead are, independent of order. */
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

  /** Tells whether a member has changed since the last call. */
  boolean changed() {
    boolean result = changed;
    changed = false;
    return result;
  }
}
