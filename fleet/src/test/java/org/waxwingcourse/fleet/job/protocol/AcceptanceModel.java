package org.waxwingcourse.fleet.job.protocol;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.waxwingcourse.fleet.job.protocol.StateSpace.Step;

/**
 * Models the acceptance of two jobs of one organisation that fit its limit only one at a time. Each
 * is submitted to two hosts at once; a host reads the waiting tokens and then writes the job and
 * the sum in one transaction.
 */
final class AcceptanceModel {
  private static final int LIMIT = 1;
  private static final List<Integer> JOBS = List.of(0, 1);
  private static final List<Integer> HOSTS = List.of(0, 1);

  private final boolean sumInTransaction;

  /**
   * Creates the model; {@code sumInTransaction} states whether the transaction requires the sum to
   * be unchanged since it was read.
   */
  AcceptanceModel(boolean sumInTransaction) {
    this.sumInTransaction = sumInTransaction;
  }

  /** A submission that has read the sum. */
  record Reading(int sum, int revision) {}

  /** The submission of one job to one host. */
  record Submission(int job, int host) {}

  /** The state of the model. */
  record State(
      Set<Integer> accepted,
      int sum,
      int sumRevision,
      Map<Submission, Option<Reading>> submissions) {}

  State initialState() {
    Map<Submission, Option<Reading>> all =
        HashMap.ofEntries(
            JOBS.crossProduct(HOSTS)
                .map(p -> io.vavr.Tuple.of(new Submission(p._1, p._2), Option.none())));
    return new State(HashSet.empty(), 0, 0, all);
  }

  /**
   * Returns whether no more is waiting than the limit and the stored sum is that of the accepted
   * jobs.
   */
  static boolean keepsLimit(State before, State after) {
    return after.accepted().size() <= LIMIT && after.sum() == after.accepted().size();
  }

  List<Step<State>> steps(State s) {
    return s.submissions().toList().flatMap(e -> step(s, e._1, e._2));
  }

  private Option<Step<State>> step(State s, Submission submission, Option<Reading> reading) {
    if (reading.isEmpty()) {
      Option<Reading> read = Option.some(new Reading(s.sum(), s.sumRevision()));
      State after =
          new State(s.accepted(), s.sum(), s.sumRevision(), s.submissions().put(submission, read));
      return Option.some(new Step<>("read for " + submission, after));
    }
    State withoutSubmission =
        new State(s.accepted(), s.sum(), s.sumRevision(), s.submissions().remove(submission));
    Reading seen = reading.get();
    boolean full = seen.sum() + 1 > LIMIT;
    boolean changed = sumInTransaction && seen.revision() != s.sumRevision();
    if (full || changed || s.accepted().contains(submission.job())) {
      return Option.some(new Step<>("refused " + submission, withoutSubmission));
    }
    State after =
        new State(
            s.accepted().add(submission.job()),
            seen.sum() + 1,
            s.sumRevision() + 1,
            withoutSubmission.submissions());
    return Option.some(new Step<>("accepted " + submission, after));
  }
}
