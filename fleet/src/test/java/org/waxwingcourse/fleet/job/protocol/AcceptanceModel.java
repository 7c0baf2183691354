package org.waxwingcourse.fleet.job.protocol;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.waxwingcourse.fleet.job.protocol.StateSpace.Step;

/**
 * Two jobs of one organisation that fit its cap only singly, each handed in at two hosts at once: a
 * host reads the waiting tokens and then writes job and sum in one transaction.
 */
final class AcceptanceModel {
  private static final int CAP = 1;
  private static final List<Integer> JOBS = List.of(0, 1);
  private static final List<Integer> HOSTS = List.of(0, 1);

  private final boolean sumInTransaction;

  /** Creates the model; {@code sumInTransaction} is whether the sum read must still stand. */
  AcceptanceModel(boolean sumInTransaction) {
    this.sumInTransaction = sumInTransaction;
  }

  /** A handing-in that has read the sum. */
  record Reading(int sum, int revision) {}

  /** One job at one host. */
  record Attempt(int job, int host) {}

  /** The whole. */
  record State(
      Set<Integer> accepted, int sum, int sumRevision, Map<Attempt, Option<Reading>> underway) {}

  State first() {
    Map<Attempt, Option<Reading>> all =
        HashMap.ofEntries(
            JOBS.crossProduct(HOSTS)
                .map(p -> io.vavr.Tuple.of(new Attempt(p._1, p._2), Option.none())));
    return new State(HashSet.empty(), 0, 0, all);
  }

  /** No more is waiting than the cap, and the sum in the store is that of the jobs accepted. */
  static boolean keepsCap(State before, State after) {
    return after.accepted().size() <= CAP && after.sum() == after.accepted().size();
  }

  List<Step<State>> steps(State s) {
    return s.underway().toList().flatMap(e -> step(s, e._1, e._2));
  }

  private Option<Step<State>> step(State s, Attempt attempt, Option<Reading> reading) {
    if (reading.isEmpty()) {
      Option<Reading> read = Option.some(new Reading(s.sum(), s.sumRevision()));
      State after =
          new State(s.accepted(), s.sum(), s.sumRevision(), s.underway().put(attempt, read));
      return Option.some(new Step<>("read for " + attempt, after));
    }
    State left = new State(s.accepted(), s.sum(), s.sumRevision(), s.underway().remove(attempt));
    Reading seen = reading.get();
    boolean full = seen.sum() + 1 > CAP;
    boolean changed = sumInTransaction && seen.revision() != s.sumRevision();
    if (full || changed || s.accepted().contains(attempt.job())) {
      return Option.some(new Step<>("refused " + attempt, left));
    }
    State after =
        new State(
            s.accepted().add(attempt.job()), seen.sum() + 1, s.sumRevision() + 1, left.underway());
    return Option.some(new Step<>("accepted " + attempt, after));
  }
}
