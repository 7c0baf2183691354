package org.waxwingcourse.fleet.coordinate;

import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.FleetMessage;

/** Hands the messages of other hosts to the part that each is for. */
public final class FleetChannel {
  private final FleetLink link;
  private final Coordinator coordinator;
  private final SlotClient slots;
  private final JobMessages jobs;

  /** Receives the messages about jobs. */
  public interface JobMessages {
    /** A message about a job has come. */
    void onJobMessage(HostId from, FleetMessage message);
  }

  /** Creates the channel's handler. */
  public FleetChannel(FleetLink link, Coordinator coordinator, SlotClient slots, JobMessages jobs) {
    this.link = link;
    this.coordinator = coordinator;
    this.slots = slots;
    this.jobs = jobs;
  }

  /** A message has arrived. */
  public void onMessage(HostId from, byte[] payload) {
    FleetMessages.read(from, payload).forEach(m -> deliver(from, m));
  }

  private void deliver(HostId from, FleetMessage message) {
    switch (message.getBodyCase()) {
      case PING -> link.onPing(from, message.getPing());
      case PONG -> link.onPong(from, message.getPong());
      case ASK -> coordinator.onAsk(from, message.getAsk());
      case END -> coordinator.onEnd(from, message.getEnd());
      case WITHDRAW -> coordinator.onWithdraw(from, message.getWithdraw().getNumber());
      case SILENCE -> coordinator.onSilence(from, message.getSilence().getNumber());
      case RUNNING -> coordinator.onRunning(from, message.getRunning());
      case GRANT -> slots.onGrant(from, message.getGrant());
      case REFUSAL -> slots.onRefusal(message.getRefusal());
      case YIELD -> slots.onYield(message.getYield().getNumber());
      default -> jobs.onJobMessage(from, message);
    }
  }
}
