package org.waxwingcourse.node.web;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Authenticator;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** {@code POST /v1/chat/completions} and {@code GET /v1/models}. */
final class ChatRoutes implements Routes {
  private final CallerPorts ports;
  private final Gate gate;
  private final ObjectMapper mapper = new ObjectMapper();

  ChatRoutes(CallerPorts ports, Gate gate) {
    this.ports = ports;
    this.gate = gate;
  }

  @Override
  public void addTo(Chain chain) {
    chain.post("v1/chat/completions", this::chat);
    chain.get("v1/models", this::models);
  }

  private void chat(Context context) {
    Either<Refusal, FleetConfiguration> fleet = gate.configuration();
    Either<Refusal, Gate.Caller> caller = fleet.flatMap(f -> gate.caller(context));
    if (caller.isLeft()) {
      gate.refuse(context, caller.getLeft());
      return;
    }
    gate.body(
        context,
        fleet.get().defaults().maxBodyBytes(),
        bytes ->
            ChatRequest.parse(new String(bytes, StandardCharsets.UTF_8))
                .peek(chat -> run(context, fleet.get(), caller.get(), chat))
                .peekLeft(wrong -> ApiError.invalid(wrong).send(context, gate.now())));
  }

  private void run(
      Context context, FleetConfiguration fleet, Gate.Caller caller, ChatRequest chat) {
    if (!serves(fleet, chat.model())) {
      String message = "model \"" + chat.model() + "\" does not exist";
      gate.refuse(context, new Refusal(RefusalCode.NOT_FOUND, message, Instant.EPOCH));
      return;
    }
    Deadline deadline = Deadline.after(ports.clock(), fleet.defaults().onlineTimeout());
    gate.admit(
        context,
        caller.organisation().id(),
        deadline,
        () -> dispatch(context, fleet, caller, chat, deadline));
  }

  private void dispatch(
      Context context,
      FleetConfiguration fleet,
      Gate.Caller caller,
      ChatRequest chat,
      Deadline deadline) {
    InferenceRequest request =
        new InferenceRequest(
            RequestId.random(),
            caller.organisation().id(),
            chat.model(),
            WorkClass.ONLINE,
            chat.body(),
            chat.stream(),
            chat.prompt(),
            deadline);
    AnswerStream answer = new AnswerStream();
    AnswerListener listener =
        chat.stream()
            ? new LatencyListener(
                answer, ports.clock(), ports.levels(), request.organisation(), fleet.defaults())
            : answer;
    Call call = ports.dispatcher().submit(request, listener);
    Delivery delivery = new Delivery(gate, context, answer);
    Authenticator.Session session =
        ports.authenticator().open(caller.key(), () -> delivery.withdraw(call));
    answer.end().thenRun(session::close);
    answer.end().thenAccept(end -> gate.countEnd(request.organisation(), end));
    delivery.begin(call);
  }

  private static boolean serves(FleetConfiguration fleet, ModelName model) {
    return fleet.engines().values().stream().anyMatch(e -> e.models().contains(model));
  }

  private void models(Context context) {
    gate.caller(context)
        .flatMap(caller -> gate.configuration())
        .peekLeft(refusal -> gate.refuse(context, refusal))
        .peek(fleet -> context.getResponse().send("application/json", modelList(fleet)));
  }

  private String modelList(FleetConfiguration fleet) {
    ObjectNode root = mapper.createObjectNode();
    root.put("object", "list");
    ArrayNode data = root.putArray("data");
    fleet.engines().values().stream()
        .flatMap(e -> e.models().stream())
        .distinct()
        .sorted()
        .forEach(
            m ->
                data.addObject()
                    .put("id", m.value())
                    .put("object", "model")
                    .put("created", 0)
                    .put("owned_by", "waxwingcourse"));
    return root.toString();
  }
}
