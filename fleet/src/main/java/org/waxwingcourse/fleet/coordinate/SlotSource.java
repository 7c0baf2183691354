package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.HostId;

/** Where requests and items get their slots on engines. Safe for use by several threads. */
public interface SlotSource {
  /**
   * Requests a slot. The listener is never called from within this method. Returns the number that
   * identifies the request and the run that follows.
   */
  long requestSlot(SlotRequirements requirements, SlotListener listener);

  /** Withdraws a request that has not been granted. */
  void withdrawRequest(long number);

  /** Reports the end of a run and frees its slot. */
  void endRun(long number, RunEnd end);

  /**
   * Reports the end of a run and frees its slot; if the engine closed the connection, also which of
   * its processes did so under which request.
   */
  void endRun(long number, RunEnd end, EngineBoot engine);

  /** Reports that a run received no byte from its engine for longer than a healthy engine takes. */
  void reportSilence(long number);

  /** Reports that a run has received the first data from its engine. */
  void reportAnswer(long number);

  /** Returns the coordinator, none before one is known. */
  Option<HostId> coordinator();
}
