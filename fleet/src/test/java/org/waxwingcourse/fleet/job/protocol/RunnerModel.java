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
      int faults) {}

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
    Host host = s.hosts().get(h).get();
    List<Step<State>> steps = List.empty();
    if (s.faults() < MAX_FAULTS && host.up()) {
      Host dead = new Host(false, host.boot(), host.entry(), Option.none());
      steps = steps.append(step("kill " + h, with(s, h, dead, s.faults() + 1)));
    }
    if (s.faults() < MAX_FAULTS && host.entry()) {
      Host lapsed = new Host(host.up(), host.boot(), false, host.runs());
      steps = steps.append(step("lapse " + h, with(s, h, lapsed, s.faults() + 1)));
    }
    if (!host.up()) {
      Host fresh = new Host(true, host.boot() + 1, true, Option.none());
      steps = steps.append(step("start " + h, with(s, h, fresh, s.faults())));
    }
    return steps;
  }

  private List<Step<State>> claims(State s, int h) {
    Host host = s.hosts().get(h).get();
    boolean own = s.runner() == h && s.runnerBoot() == host.boot();
    Host old = s.hosts().get(s.runner()).get();
    boolean oldStands = old.entry() && old.boot() == s.runnerBoot();
    boolean mayClaim = host.up() && host.entry() && s.revision() < MAX_CLAIM_REVISION;
    if (!mayClaim || own || (claimNeedsLapse && oldStands)) {
      return List.empty();
    }
    int revision = s.revision() + 1;
    Host runner = new Host(true, host.boot(), true, Option.some(new Belief(revision, s.listed())));
    State claimed =
        new State(
            revision, h, host.boot(), s.listed(), s.hosts().put(h, runner), s.write(), s.faults());
    return List.of(step("claim " + h, claimed));
  }

  private static List<Step<State>> commits(State s, int h) {
    Host host = s.hosts().get(h).get();
    if (!host.up() || host.runs().isEmpty() || s.write().isDefined()) {
      return List.empty();
    }
    Belief belief = host.runs().get();
    return List.range(0, ITEMS)
        .filter(i -> !belief.listed().contains(i))
        .map(i -> step("commit " + i + " by " + h, withWrite(s, h, host, belief, i)));
  }

  private List<Step<State>> arrivals(State s) {
    if (s.write().isEmpty()) {
      return List.empty();
    }
    State without =
        new State(
            s.revision(),
            s.runner(),
            s.runnerBoot(),
            s.listed(),
            s.hosts(),
            Option.none(),
            s.faults());
    Write write = s.write().get();
    List<Step<State>> steps = List.of(step("write lost", without));
    if (fenced && s.revision() != write.from().revision()) {
      return steps.append(step("write refused", stopped(without, write)));
    }
    List<Integer> listed = write.from().listed().append(write.item());
    int revision = s.revision() + 1;
    State landed =
        new State(
            revision, s.runner(), s.runnerBoot(), listed, s.hosts(), Option.none(), s.faults());
    return steps
        .append(step("write lands", informed(landed, write, new Belief(revision, listed))))
        .append(step("write lands, answer lost", landed));
  }

  /** The runner hears that its write stands. */
  private static State informed(State s, Write write, Belief belief) {
    Host host = s.hosts().get(write.host()).get();
    if (!host.up() || host.boot() != write.boot() || host.runs().isEmpty()) {
      return s;
    }
    Host told = new Host(true, host.boot(), host.entry(), Option.some(belief));
    return with(s, write.host(), told, s.faults());
  }

  /** A runner whose write is refused reads the record and stops if another one runs the job. */
  private static State stopped(State s, Write write) {
    Host host = s.hosts().get(write.host()).get();
    if (!host.up() || host.boot() != write.boot()) {
      return s;
    }
    boolean own = s.runner() == write.host() && s.runnerBoot() == host.boot();
    Option<Belief> belief = own ? Option.some(new Belief(s.revision(), s.listed())) : Option.none();
    return with(s, write.host(), new Host(true, host.boot(), host.entry(), belief), s.faults());
  }

  private static State with(State s, int h, Host host, int faults) {
    return new State(
        s.revision(),
        s.runner(),
        s.runnerBoot(),
        s.listed(),
        s.hosts().put(h, host),
        s.write(),
        faults);
  }

  private static State withWrite(State s, int h, Host host, Belief belief, int item) {
    Write write = new Write(h, host.boot(), belief, item);
    return new State(
        s.revision(),
        s.runner(),
        s.runnerBoot(),
        s.listed(),
        s.hosts(),
        Option.some(write),
        s.faults());
  }

  private static Step<State> step(String name, State after) {
    return new Step<>(name, after);
  }
}
