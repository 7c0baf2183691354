package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.waxwingcourse.fleet.quarantine.CrashRecord;
import org.waxwingcourse.fleet.quarantine.CrashingRequests;
import org.waxwingcourse.fleet.quarantine.PromptQuarantine;
import org.waxwingcourse.fleet.quarantine.QuarantinedPrompt;
import org.waxwingcourse.fleet.slot.CrashBlame;
import org.waxwingcourse.fleet.slot.ExistingRun;
import org.waxwingcourse.fleet.slot.GrantedRun;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.fleet.slot.SlotDecision;
import org.waxwingcourse.fleet.slot.SlotRequest;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * Finds out from the starts and ends of runs under which requests engines crash, and refuses them.
 *
 * <p>Safe for use by several threads.
 */
final class CrashScreening {
  private static final EventLog LOG = EventLog.of(CrashScreening.class);

  private static final String REQUEST_REASON = "engines crash on this request";
  private static final String PROMPT_REASON = "engines crash on its prompt";

  private final CrashBlame blame = new CrashBlame();
  private final PromptQuarantine prompts = new PromptQuarantine();
  private final CrashingRequests requests = new CrashingRequests();
  private final EndedEngines endedEngines = new EndedEngines();
  private long verdictsSeen;

  /** Returns the prompts on which engines crash, as this host knows them. */
  PromptQuarantine prompts() {
    return prompts;
  }

  /** Returns the requests under which engines have ended, as this host knows them. */
  CrashingRequests requests() {
    return requests;
  }

  /** Returns the refusal of a request under which engines crash, none if it may run. */
  Option<SlotDecision.Refuse> screen(SlotRequest request, Instant now) {
    return request
        .fingerprint()
        .flatMap(f -> requests.admit(request.id(), f, now))
        .map(at -> refusal(request, at, REQUEST_REASON))
        .orElse(() -> screenPrompt(request, now));
  }

  private Option<SlotDecision.Refuse> screenPrompt(SlotRequest request, Instant now) {
    if (prompts.isProbe(request.id())) {
      return Option.none();
    }
    return prompts
        .refusedUntil(request.promptParts(), now)
        .map(at -> refusal(request, at, PROMPT_REASON));
  }

  private static SlotDecision.Refuse refusal(SlotRequest request, Instant retryAt, String reason) {
    return new SlotDecision.Refuse(request, RefusalCode.QUARANTINED, retryAt, reason);
  }

  /** Returns the refusal of a request that waits for a slot, none if it may go on waiting. */
  Option<SlotDecision.Refuse> screenWaiting(SlotRequest waiting, Instant now) {
    return waiting
        .fingerprint()
        .flatMap(f -> requests.refusedUntil(f, now))
        .map(at -> refusal(waiting, at, REQUEST_REASON))
        .orElse(() -> screenPrompt(waiting, now));
  }

  /**
   * Decides on a request for which there is a slot, and records its grant if it may run. Of the
   * requests that wait for a slot with a prompt on which engines crash only one may run.
   *
   * @return the refusal, or whether requests are refused from now on that were not before
   */
  Either<SlotDecision.Refuse, Boolean> grant(SlotRequest request, UpstreamId engine, Instant now) {
    boolean wasProbe = prompts.isProbe(request.id());
    Option<Instant> retryAt = prompts.admit(request.id(), request.promptParts(), now);
    if (retryAt.isDefined()) {
      return Either.left(refusal(request, retryAt.get(), PROMPT_REASON));
    }
    boolean isNewProbe = !wasProbe && prompts.isProbe(request.id());
    if (isNewProbe) {
      LOG.write(Event.PROMPT_PROBED, request.requestId(), request.id().host());
    }
    if (request.fingerprint().exists(f -> requests.recordGrant(f, now))) {
      LOG.write(
          Event.CRASHING_REQUEST_PROBED,
          request.requestId(),
          request.id().host(),
          request.fingerprint().get());
    }
    blame.recordStart(
        request.id(),
        engine,
        request.promptParts(),
        request.fingerprint().toEither(request.requestId()),
        now);
    return Either.right(isNewProbe);
  }

  /** Records a run that another coordinator has granted. */
  void recordExisting(RunId id, UpstreamId engine, ExistingRun run) {
    blame.recordStart(
        id, engine, run.promptParts(), run.fingerprint().toEither(run.request()), run.startedAt());
  }

  /**
   * Draws conclusions from the end of a run.
   *
   * @param engine hash of the engine's process if it closed the connection, 0 if not known
   * @return whether requests are refused from now on that were not before
   */
  boolean recordEnd(RunId id, GrantedRun run, RunEnd end, long engine, Instant now) {
    boolean brokeOff = end.how() == RunEnd.How.ENGINE_BROKE_OFF;
    if (brokeOff) {
      logBrokenOff(id, run, end);
    }
    if (end.isAnswered()) {
      run.fingerprint()
          .flatMap(f -> requests.recordWhole(f, now))
          .forEach(
              r ->
                  LOG.write(
                      Event.CRASHING_REQUEST_RELEASED, r.request(), run.request(), r.crashes()));
    }
    if (end.hasEvent()) {
      for (QuarantinedPrompt released : prompts.recordSound(id, run.promptParts(), now)) {
        LOG.write(Event.PROMPT_RELEASED, run.request(), released.partsText());
      }
    } else {
      prompts.recordEndWithoutEvent(id, brokeOff, now);
    }
    return quarantine(blame.recordEnd(id, end, engine, now), now);
  }

  /**
   * Records that an engine closed the connection of a run.
   *
   * @param request the request; none for an item
   * @param engine hash of the engine's process
   * @return as {@link #recordEnd}
   */
  boolean recordBreak(Option<RequestFingerprint> request, long engine, Instant now) {
    List<CrashRecord> reached = new ArrayList<>();
    request.flatMap(f -> requests.recordCrash(f, engine, now)).forEach(reached::add);
    if (endedEngines.recordBreak(engine, now)) {
      reached.addAll(requests.recordEndedEngine(engine, now));
    }
    for (CrashRecord record : reached) {
      LOG.write(Event.CRASHING_REQUEST_REFUSED, record.request(), record.crashes());
      blame.blameRequest(record.request());
    }
    return !reached.isEmpty();
  }

  private static void logBrokenOff(RunId id, GrantedRun run, RunEnd end) {
    LOG.write(
        Event.RUN_BROKEN_OFF,
        run.engine(),
        run.request(),
        id.host(),
        end.firstEventDelay().isZero() ? "none" : end.firstEventDelay().toMillis() + " ms",
        run.promptParts().stream().map(Long::toHexString).collect(Collectors.joining(",")),
        run.fingerprint().map(Object::toString).getOrElse("none"));
  }

  /**
   * Draws conclusions from the passing of time, and from what other hosts have told.
   *
   * @return as {@link #recordEnd}
   */
  synchronized boolean update(Instant now) {
    long verdicts = requests.verdicts();
    boolean more = quarantine(blame.update(now), now) || verdicts != verdictsSeen;
    verdictsSeen = verdicts;
    return more;
  }

  private boolean quarantine(List<Set<Long>> verdicts, Instant now) {
    boolean added = false;
    for (Set<Long> parts : verdicts) {
      Option<QuarantinedPrompt> entry = prompts.add(parts, now);
      entry.forEach(
          e ->
              LOG.write(
                  Event.PROMPT_QUARANTINED,
                  e.partsText(),
                  Duration.between(now, e.probeAt().at()).toSeconds()));
      added |= entry.isDefined();
    }
    return added;
  }

  /** Records the end of a run that no longer occupies a slot. */
  void recordLateEnd(RunId id, RunEnd end, Instant now) {
    boolean crashed = end.how() == RunEnd.How.ENGINE_BROKE_OFF && !end.hasEvent();
    prompts.recordEndWithoutEvent(id, crashed, now);
  }

  /** Removes a run that has given its slot back. */
  void forgetRun(RunId id, Instant now) {
    blame.forgetRun(id);
    prompts.recordEndWithoutEvent(id, false, now);
  }

  /** Removes the runs of a host that is gone or has detached. */
  void removeHost(HostId host, Instant now) {
    blame.removeHost(host);
    prompts.forgetRuns(id -> id.host().equals(host), now);
  }

  /**
   * Removes the runs of an engine that is no longer listed. Whether it crashed under a request that
   * was let through is told by the end of the run, which may yet come.
   */
  void removeEngine(UpstreamId engine) {
    blame.removeEngine(engine);
  }

  /** Removes the runs of a host that its list lacks, but for those that started since then. */
  void retainListedRuns(HostId host, Set<RunId> listed, Instant knownUntil, Instant now) {
    Set<RunId> removed = blame.retainListedRuns(host, listed, knownUntil);
    prompts.forgetRuns(removed::contains, now);
  }
}
