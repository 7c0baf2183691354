package org.waxwingcourse.fleet.job.protocol;

import io.vavr.collection.HashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.waxwingcourse.fleet.job.protocol.StateSpace.Step;

/**
 * Models one job, two hosts and a store: which host runs the job and which results it lists. Hosts
 * crash, lose their store entries when they are disconnected, and restart; writes arrive late, get
 * lost or lose their answer.
 */
final class RunnerModel {
  private static final int HOSTS = 2;
  private static final int ITEMS = 2;

  /**
   * Maximum number of crashes and expired entries in one run; more add no new kind of overlap at
   * this size.
   */
  private static final int MAX_FAULTS = 3;

  /**
   * Revision up to which claims are made; without a limit two hosts could claim the job in turn for
   * ever.
   */
  private static final int MAX_CLAIM_REVISION = 5;

  private final boolean fenced;
  private final boolean claimNeedsExpiry;

  /**
   * Creates the model.
   *
   * @param fenced whether a commit requires the record as its runner last saw it
   * @param claimNeedsExpiry whether a claim requires that the old runner's entry is gone
   */
  RunnerModel(boolean fenced, boolean claimNeedsExpiry) {
    this.fenced = fenced;
    this.claimNeedsExpiry = claimNeedsExpiry;
  }

  /** A host's knowledge of the job's record. */
  record KnownRecord(int revision, List<Integer> listed) {}

  /** A commit that has been sent to the store. */
  record Write(int host, int boot, KnownRecord from, int item) {}

  /**
   * A host: whether its process is alive, whether its entry is in the store, and what it knows of
   * the job if it runs it.
   */
  record Host(boolean alive, int boot, boolean entry, Option<KnownRecord> knownJob) {}

  /** The state of the model. */
  record State(
      int revision,
      int runner,
      int runnerBoot,
      List<Integer> listed,
      Map<Integer, Host> hosts,
      Option<Write> write,
      int faults) {
    Host host(int h) {
      return hosts.get(h).get();
    }

    /** Returns whether the record names the present process of a host as runner. */
    boolean isRunner(int h) {
      return runner == h && runnerBoot == host(h).boot();
    }

    State withHost(int h, Host host) {
      return new State(revision, runner, runnerBoot, listed, hosts.put(h, host), write, faults);
    }

    State withFault() {
      return new State(revision, runner, runnerBoot, listed, hosts, write, faults + 1);
    }

    State withWrite(Option<Write> underway) {
      return new State(revision, runner, runnerBoot, listed, hosts, underway, faults);
    }

    /** Returns the state after the record was written with other results. */
    State withListed(List<Integer> results) {
      return new State(revision + 1, runner, runnerBoot, results, hosts, write, faults);
    }

    /** Returns the state after the record was written with another runner. */
    State withRunner(int h) {
      return new State(revision + 1, h, host(h).boot(), listed, hosts, write, faults);
    }
  }

  State initialState() {
    Host idle = new Host(true, 0, true, Option.none());
    Host running = new Host(true, 0, true, Option.some(new KnownRecord(1, List.empty())));
    return new State(1, 0, 0, List.empty(), HashMap.of(0, running, 1, idle), Option.none(), 0);
  }

  /** Returns whether results keep their positions and no item is listed twice. */
  static boolean keepsResultPositions(State before, State after) {
    return after.listed().startsWith(before.listed())
        && after.listed().distinct().size() == after.listed().size();
  }

  List<Step<State>> steps(State s) {
    return List.range(0, HOSTS)
        .flatMap(h -> faults(s, h).appendAll(claims(s, h)).appendAll(commits(s, h)))
        .appendAll(writeArrivals(s));
  }

  private static List<Step<State>> faults(State s, int h) {
    Host host = s.host(h);
    List<Step<State>> steps = List.empty();
    if (s.faults() < MAX_FAULTS && host.alive()) {
      Host crashed = new Host(false, host.boot(), host.entry(), Option.none());
      steps = steps.append(new Step<>("crash of " + h, s.withHost(h, crashed).withFault()));
    }
    if (s.faults() < MAX_FAULTS && host.entry()) {
      Host expired = new Host(host.alive(), host.boot(), false, host.knownJob());
      steps = steps.append(new Step<>("entry expires of " + h, s.withHost(h, expired).withFault()));
    }
    if (!host.alive()) {
      Host restarted = new Host(true, host.boot() + 1, true, Option.none());
      steps = steps.append(new Step<>("restart of " + h, s.withHost(h, restarted)));
    }
    return steps;
  }

  private List<Step<State>> claims(State s, int h) {
    Host host = s.host(h);
    Host old = s.host(s.runner());
    boolean oldRunnerRegistered = old.entry() && s.isRunner(s.runner());
    boolean mayClaim = host.alive() && host.entry() && s.revision() < MAX_CLAIM_REVISION;
    if (!mayClaim || s.isRunner(h) || (claimNeedsExpiry && oldRunnerRegistered)) {
      return List.empty();
    }
    State claimed = s.withRunner(h);
    return List.of(
        new Step<>("claim by " + h, claimed.withHost(h, withPresentRecord(host, claimed))));
  }

  private static List<Step<State>> commits(State s, int h) {
    Host host = s.host(h);
    if (!host.alive() || host.knownJob().isEmpty() || s.write().isDefined()) {
      return List.empty();
    }
    KnownRecord knownRecord = host.knownJob().get();
    return List.range(0, ITEMS)
        .filter(i -> !knownRecord.listed().contains(i))
        .map(
            i -> {
              Write write = new Write(h, host.boot(), knownRecord, i);
              return new Step<>("commit " + i + " by " + h, s.withWrite(Option.some(write)));
            });
  }

  private List<Step<State>> writeArrivals(State s) {
    if (s.write().isEmpty()) {
      return List.empty();
    }
    State without = s.withWrite(Option.none());
    Write write = s.write().get();
    List<Step<State>> steps = List.of(new Step<>("write lost", without));
    if (fenced && s.revision() != write.from().revision()) {
      return steps.append(new Step<>("write refused", afterRefusal(without, write)));
    }
    State applied = without.withListed(write.from().listed().append(write.item()));
    return steps
        .append(new Step<>("write applied", afterAnswer(applied, write)))
        .append(new Step<>("write applied, answer lost", applied));
  }

  /** Returns the state after the runner has received the answer that its write took effect. */
  private static State afterAnswer(State s, Write write) {
    Host host = s.host(write.host());
    return isSender(host, write) && host.knownJob().isDefined()
        ? s.withHost(write.host(), withPresentRecord(host, s))
        : s;
  }

  /**
   * Returns the state after a runner whose write was refused has read the record; it stops if
   * another host runs the job.
   */
  private static State afterRefusal(State s, Write write) {
    Host host = s.host(write.host());
    if (!isSender(host, write)) {
      return s;
    }
    Host idle = new Host(true, host.boot(), host.entry(), Option.none());
    return s.withHost(write.host(), s.isRunner(write.host()) ? withPresentRecord(host, s) : idle);
  }

  /** Returns whether the process that sent a write is still alive. */
  private static boolean isSender(Host host, Write write) {
    return host.alive() && host.boot() == write.boot();
  }

  /** Returns a host that runs the job and knows its present record. */
  private static Host withPresentRecord(Host host, State s) {
    KnownRecord knownRecord = new KnownRecord(s.revision(), s.listed());
    return new Host(true, host.boot(), host.entry(), Option.some(knownRecord));
  }
}
