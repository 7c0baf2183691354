package org.waxwingcourse.model.member;

/** What the other hosts believe of a host. */
public enum MemberState {
  /** Heartbeats arrive. */
  ALIVE,
  /** Heartbeats are overdue; the host is still asked to refute. */
  SUSPECT,
  /** Announced a planned stop: it finishes what it has and gets nothing new. */
  LEAVING,
  /** Gone by its own word or by the suspicion timeout. */
  DEAD
}
