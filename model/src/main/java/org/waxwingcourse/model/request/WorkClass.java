package org.waxwingcourse.model.request;

/** How urgent a request is. */
public enum WorkClass {
  /** A caller waits for it. */
  ONLINE,
  /** Due by a deadline that is far off; yields to online work at once. */
  BATCH
}
