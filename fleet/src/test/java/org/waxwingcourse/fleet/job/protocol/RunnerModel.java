package org.waxwingcourse.fleet.job.protocol;

import io.vavr.collection.HashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import io.vavr.control.Option;
import org.waxwingcourse.fleet.job.protocol.StateSpace.Step;

/**
 * One job, two hosts, a store: who runs the job and what it lists. Hosts are killed, cut off (their
 * entries lapse) and start anew; writes arrive late, get lost or lose their answer.
 */
final class RunnerModel {
  private static final int HOSTS = 2;
  private static final int ITEMS = 2;

  /** Kills and lapses in one run; more add no new kind of overlap at this size. */
  private static final int MAX_FAULTS = 3;

  /** Revision up to which claims are tried; without it two hosts could claim in turn for ever. */
  private static final int MAX_CLAIM_REVISION = 5;

  private final boolean fenced;
  private final boolean claimNeedsLapse;

  /**
   * Creates the model.
   *
   * @param fenced whether a commit requires the record as its runner last saw it
   * @param claimNeedsLapse whether a claim requires that the old runner's entry is gone
   */
  RunnerModel(boolean fenced, boolean claimNeedsLapse) {
    this.fenced = fenced;
    this.claimNeedsLapse = claimNeedsLapse;
  }

  /** What a host believes of the job's record. */
  record Belief(int revision, List<Integer> listed) {}

  /** A commit on its way to the store. */
  record Write(int host, int boot, Belief from, int item) {}

  /** One host: its process, if it lives, and its entry in the store. */
  record Host(boolean up, int boot, boolean entry, Option<Belief> runs) {}

  /** The whole. */
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

    /** Tells whether the record names the present process of a host as runner. */
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

    /** The record is written with other results. */
    State withListed(List<Integer> results) {
      return new State(revision + 1, runner, runnerBoot, results, hosts, write, faults);
    }

    /** The record is written with another runner. */
    State withRunner(int h) {
      return new State(revision + 1, h, host(h).boot(), listed, hosts, write, faults);
    }
  }

  State first() {
    Host idle = new Host(true, 0, true, Option.none());
    Host running = new Host(true, 0, true, Option.some(new Belief(1, List.empty())));
    return new State(1, 0, 0, List.empty(), HashMap.of(0, running, 1, idle), Option.none(), 0);
  }

  /** Results keep their position, and no item stands twice. */
  static boolean keepsResults(State before, State after) {
    return after.listed().startsWith(before.listed())
        && after.listed().distinct().size() == after.listed().size();
  }

  List<Step<State>> steps(State s) {
    return List.range(0, HOSTS)
        .flatMap(h -> faults(s, h).appendAll(claims(s, h)).appendAll(commits(s, h)))
        .appendAll(arrivals(s));
  }

  private static List<Step<State>> faults(State s, int h) {
    Host host = s.host(h);
    List<Step<State>> steps = List.empty();
    if (s.faults() < MAX_FAULTS && host.up()) {
      Host dead = new Host(false, host.boot(), host.entry(), Option.none());
      steps = steps.append(new Step<>("kill " + h, s.withHost(h, dead).withFault()));
    }
    if (s.faults() < MAX_FAULTS && host.entry()) {
      Host lapsed = new Host(host.up(), host.boot(), false, host.runs());
      steps = steps.append(new Step<>("lapse " + h, s.withHost(h, lapsed).withFault()));
    }
    if (!host.up()) {
      Host fresh = new Host(true, host.boot() + 1, true, Option.none());
      steps = steps.append(new Step<>("start " + h, s.withHost(h, fresh)));
    }
    return steps;
  }

  private List<Step<State>> claims(State s, int h) {
    Host host = s.host(h);
    Host old = s.host(s.runner());
    boolean oldStands = old.entry() && s.isRunner(s.runner());
    boolean mayClaim = host.up() && host.entry() && s.revision() < MAX_CLAIM_REVISION;
    if (!mayClaim || s.isRunner(h) || (claimNeedsLapse && oldStands)) {
      return List.empty();
    }
    State claimed = s.withRunner(h);
    return List.of(new Step<>("claim " + h, claimed.withHost(h, believing(host, claimed))));
  }

  private static List<Step<State>> commits(State s, int h) {
    Host host = s.host(h);
    if (!host.up() || host.runs().isEmpty() || s.write().isDefined()) {
      return List.empty();
    }
    Belief belief = host.runs().get();
    return List.range(0, ITEMS)
        .filter(i -> !belief.listed().contains(i))
        .map(
            i -> {
              Write write = new Write(h, host.boot(), belief, i);
              return new Step<>("commit " + i + " by " + h, s.withWrite(Option.some(write)));
            });
  }

  private List<Step<State>> arrivals(State s) {
    if (s.write().isEmpty()) {
      return List.empty();
    }
    State without = s.withWrite(Option.none());
    Write write = s.write().get();
    List<Step<State>> steps = List.of(new Step<>("write lost", without));
    if (fenced && s.revision() != write.from().revision()) {
      return steps.append(new Step<>("write refused", stopped(without, write)));
    }
    State landed = without.withListed(write.from().listed().append(write.item()));
    return steps
        .append(new Step<>("write lands", informed(landed, write)))
        .append(new Step<>("write lands, answer lost", landed));
  }

  /** The runner hears that its write stands. */
  private static State informed(State s, Write write) {
    Host host = s.host(write.host());
    return isSender(host, write) && host.runs().isDefined()
        ? s.withHost(write.host(), believing(host, s))
        : s;
  }

  /** A runner whose write is refused reads the record and stops if another one runs the job. */
  private static State stopped(State s, Write write) {
    Host host = s.host(write.host());
    if (!isSender(host, write)) {
      return s;
    }
    Host idle = new Host(true, host.boot(), host.entry(), Option.none());
    return s.withHost(write.host(), s.isRunner(write.host()) ? believing(host, s) : idle);
  }

  /** Tells whether the process that sent a write still lives. */
  private static boolean isSender(Host host, Write write) {
    return host.up() && host.boot() == write.boot();
  }

  /** Returns a host that runs the job and knows its record as it stands. */
  private static Host believing(Host host, State s) {
    Belief belief = new Belief(s.revision(), s.listed());
    return new Host(true, host.boot(), host.entry(), Option.some(belief));
  }
}
