package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;

/** What one item waits for and since when. Safe for use by several threads. */
final class ItemWait {
  /** Time without a run after which an item that waits for a slot is reported. */
  static final Duration SLOT_LIMIT = Duration.ofSeconds(15);

  /** Time after which an item that waits for anything else is reported. */
  static final Duration LIMIT = Duration.ofSeconds(5);

  /** Interval between reports of the same item. */
  static final Duration REPORT_INTERVAL = Duration.ofSeconds(15);

  private Option<WaitReason> reason = Option.some(WaitReason.SLOT_REQUESTED);
  private Instant since;
  private Option<Deadline> until = Option.none();
  private Option<LastRefusal> lastRefusal = Option.none();
  private Deadline slotReportAt;
  private Option<Deadline> reportAt = Option.none();

  /**
   * A refused request for a slot.
   *
   * @param by the coordinator, none if none was known
   * @param retryAt when the request may be repeated
   */
  record LastRefusal(RefusalCode code, String text, Option<HostId> by, Deadline retryAt) {}

  /** Creates the state of an item that is about to request its first slot. */
  ItemWait(Instant now) {
    begin(now);
  }

  private void begin(Instant now) {
    since = now;
    slotReportAt = Deadline.at(now.plus(SLOT_LIMIT));
    reportAt = Option.none();
    lastRefusal = Option.none();
  }

  /** Records that a slot was requested. */
  synchronized void onSlotRequested() {
    reason = Option.some(WaitReason.SLOT_REQUESTED);
    until = Option.none();
  }

  /** Records that the item waits for something other than a decision on its request for a slot. */
  synchronized void onBlocked(WaitReason blockedBy, Option<Deadline> blockedUntil, Instant now) {
    reason = Option.some(blockedBy);
    until = blockedUntil;
    reportAt = reportAt.orElse(Option.some(Deadline.at(now.plus(LIMIT))));
  }

  /** Records the refusal of a slot. */
  synchronized void onRefusal(LastRefusal refusal) {
    lastRefusal = Option.some(refusal);
  }

  /** Records that the item was sent to an engine. */
  synchronized void onSent() {
    reason = Option.none();
    until = Option.none();
  }

  /** Records the end of an attempt at an engine, which is a run unless the engine refused it. */
  synchronized void onAttemptEnded(RunEnd.How how, Instant now) {
    onSlotRequested();
    boolean refused =
        switch (how) {
          case NOT_SENT, ENGINE_FULL, CONNECTION_REFUSED, ENGINE_WRONG -> true;
          default -> false;
        };
    if (!refused) {
      begin(now);
    }
  }

  /** Records that the item has a result, which is to be stored. */
  synchronized void onResult(Instant now) {
    begin(now);
    onBlocked(WaitReason.RESULT_NOT_STORED, Option.none(), now);
  }

  /** Returns why the item has no run, none while it is at an engine. */
  synchronized Option<WaitReason> reason() {
    return reason;
  }

  /** Returns when the item is to be reported if it still waits for the same. */
  synchronized Deadline reportAt() {
    return reason.contains(WaitReason.SLOT_REQUESTED)
        ? slotReportAt
        : reportAt.getOrElse(slotReportAt);
  }

  /** Returns when its last run ended, or when it began to wait for its first one. */
  synchronized Instant since() {
    return since;
  }

  /** Returns when the item takes its next step by itself, none if it waits for others. */
  synchronized Option<Deadline> until() {
    return until;
  }

  /** Returns the last refusal since its last run. */
  synchronized Option<LastRefusal> lastRefusal() {
    return lastRefusal;
  }

  /** Records that the item was reported. */
  synchronized void onReported(Instant now) {
    slotReportAt = Deadline.at(now.plus(REPORT_INTERVAL));
    reportAt = reportAt.map(d -> slotReportAt);
  }
}
