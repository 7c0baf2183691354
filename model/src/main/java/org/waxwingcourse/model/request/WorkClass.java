package org.waxwingcourse.model.request;

/** The urgency of a request. */
public enum WorkClass {
  /** A caller waits for the answer. */
  ONLINE,
  /** The request has a distant deadline and yields to online requests immediately. */
  BATCH
}
