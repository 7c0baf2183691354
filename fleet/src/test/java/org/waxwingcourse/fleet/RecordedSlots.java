package org.waxwingcourse.fleet;

import io.vavr.control.Option;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.waxwingcourse.fleet.coordinate.SlotListener;
import org.waxwingcourse.fleet.coordinate.SlotRequirements;
import org.waxwingcourse.fleet.coordinate.SlotSource;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.model.id.HostId;

/** Passes requests for slots on, and keeps their listeners for decisions that a test makes. */
public final class RecordedSlots implements SlotSource {
  private final SlotSource slots;
  private final Map<Long, SlotListener> listeners = new ConcurrentHashMap<>();
  private final Map<Long, SlotRequirements> requirements = new ConcurrentHashMap<>();

  /** Records the requests that are passed on to {@code slots}. */
  public RecordedSlots(SlotSource slots) {
    this.slots = slots;
  }

  /** Returns the listener of a request. */
  public SlotListener listenerOf(long number) {
    return listeners.get(number);
  }

  /** Returns what a request asks for. */
  public SlotRequirements requirementsOf(long number) {
    return requirements.get(number);
  }

  @Override
  public long requestSlot(SlotRequirements required, SlotListener listener) {
    long number = slots.requestSlot(required, listener);
    listeners.put(number, listener);
    requirements.put(number, required);
    return number;
  }

  @Override
  public void withdrawRequest(long number) {
    slots.withdrawRequest(number);
  }

  @Override
  public void endRun(long number, RunEnd end) {
    slots.endRun(number, end);
  }

  @Override
  public void endRun(long number, RunEnd end, EngineBoot engine) {
    slots.endRun(number, end, engine);
  }

  @Override
  public void reportSilence(long number) {
    slots.reportSilence(number);
  }

  @Override
  public void reportAnswer(long number) {
    slots.reportAnswer(number);
  }

  @Override
  public Option<HostId> coordinator() {
    return slots.coordinator();
  }
}
