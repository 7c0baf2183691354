package org.waxwingcourse.fleet.coordinate;

import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.FleetMessage;

/** Routes the messages of other hosts to the component that handles each type. */
public final class FleetMessageRouter {
  private final CoordinatorLink link;
  private final Coordinator coordinator;
  private final SlotClient slots;
  private final JobMessageHandler jobMessages;
  private final RelayMessageHandler relayMessages;

  /** Handles messages about jobs. */
  public interface JobMessageHandler {
    /** Handles a message about a job. */
    void onJobMessage(HostId from, FleetMessage message);
  }

  /** Handles messages about relayed requests. */
  public interface RelayMessageHandler {
    /** Handles a message about a relayed request. */
    void onRelayMessage(HostId from, FleetMessage message);
  }

  /** Creates a router to the given components. */
  public FleetMessageRouter(
      CoordinatorLink link,
      Coordinator coordinator,
      SlotClient slots,
      JobMessageHandler jobMessages,
      RelayMessageHandler relayMessages) {
    this.relayMessages = relayMessages;
    this.link = link;
    this.coordinator = coordinator;
    this.slots = slots;
    this.jobMessages = jobMessages;
  }

  /** Parses a message and passes it on. */
  public void onMessage(HostId from, byte[] payload) {
    FleetMessageConverter.parse(from, payload).forEach(m -> route(from, m));
  }

  private void route(HostId from, FleetMessage message) {
    switch (message.getBodyCase()) {
      case PING -> link.onPing(from, message.getPing());
      case COORDINATOR_LOST -> link.onCoordinatorLost(from, message.getCoordinatorLost());
      case PONG -> link.onPong(from, message.getPong());
      case ASK -> coordinator.onAsk(from, message.getAsk());
      case END -> coordinator.onEnd(from, message.getEnd());
      case WITHDRAW -> coordinator.onWithdraw(from, message.getWithdraw().getNumber());
      case SILENCE -> coordinator.onSilence(from, message.getSilence().getNumber());
      case RUNNING -> coordinator.onRunning(from, message.getRunning());
      case GRANT -> slots.onGrant(from, message.getGrant());
      case REFUSAL -> slots.onRefusal(message.getRefusal());
      case YIELD -> slots.onYield(message.getYield().getNumber());
      case RELAY_REQUEST, RELAY_ANSWER, RELAY_CANCEL, RELAY_CHECK, RELAY_CHECK_ANSWER ->
          relayMessages.onRelayMessage(from, message);
      default -> jobMessages.onJobMessage(from, message);
    }
  }
}
