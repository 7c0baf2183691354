package org.waxwingcourse.fleet.relay;

import org.waxwingcourse.fleet.coordinate.FleetMessageRouter;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.FleetMessage;

/** Passes messages about relayed requests to the side that they are for. */
public final class RelayMessages implements FleetMessageRouter.RelayMessageHandler {
  private final RelayClient client;
  private final RelayServer server;

  /** Creates a handler for the two sides of this host. */
  public RelayMessages(RelayClient client, RelayServer server) {
    this.client = client;
    this.server = server;
  }

  @Override
  public void onRelayMessage(HostId from, FleetMessage message) {
    switch (message.getBodyCase()) {
      case RELAY_REQUEST -> server.onRequest(from, message.getRelayRequest());
      case RELAY_CANCEL -> server.onCancel(from, message.getRelayCancel());
      case RELAY_CHECK -> server.onCheck(from, message.getRelayCheck());
      case RELAY_ANSWER -> client.onAnswer(from, message.getRelayAnswer());
      case RELAY_CHECK_ANSWER -> client.onCheckAnswer(from, message.getRelayCheckAnswer());
      default -> throw new IllegalArgumentException("no relay message: " + message.getBodyCase());
    }
  }
}
