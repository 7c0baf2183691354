package org.waxwingcourse.model.member;

/** The state of a host in the view of the other hosts. */
public enum MemberState {
  /** The host answers the membership protocol. */
  ALIVE,
  /** The host did not answer in time and may still refute the suspicion. */
  SUSPECT,
  /** The host announced a planned stop: it finishes its work and gets no new work. */
  LEAVING,
  /** The host announced that it has left, or the suspicion timeout expired. */
  DEAD
}
