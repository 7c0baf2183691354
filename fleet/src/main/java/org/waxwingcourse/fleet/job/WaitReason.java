package org.waxwingcourse.fleet.job;

import java.util.Locale;

/** Why an item has no run at present. The names appear in logs and metrics. */
enum WaitReason {
  /** The coordinator has not decided on its request for a slot. */
  SLOT_REQUESTED,
  /** The coordinator refused it a slot, since engines crash on its prompt. */
  QUARANTINED,
  /** The coordinator refused it a slot for another reason. */
  SLOT_REFUSED,
  /** Its last runs broke off before an event, or sent one out of place. */
  RUNS_BROKEN_OFF,
  /** Its last run failed at an engine. */
  RUN_FAILED,
  /** An engine turned it away without running it. */
  ENGINE_REFUSED,
  /** No engine of its service is listed in one of its home regions. */
  NO_ENGINE,
  /** The engine of the slot that it was granted may not be used. */
  ENGINE_UNUSABLE,
  /** The host has no configuration. */
  NO_CONFIGURATION,
  /** The request for a slot failed within the host. */
  REQUEST_FAILED,
  /** It has a slot, and the record of its job is being read. */
  RECORD_READ,
  /** It is done, and the store does not hold its result. */
  RESULT_NOT_STORED;

  /** Returns the name of the metric that counts the items that wait for this reason. */
  String metricName() {
    return "jobs.items_waiting." + name().toLowerCase(Locale.ROOT);
  }
}
