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
  private final RequestChecks checks;
  private final ObjectMapper mapper = new ObjectMapper();

  ChatRoutes(CallerPorts ports, RequestChecks checks) {
    this.ports = ports;
    this.checks = checks;
  }

  @Override
  public void addTo(Chain chain) {
    chain.post("v1/chat/completions", this::handleChat);
    chain.get("v1/models", this::handleModels);
  }

  private void handleChat(Context context) {
    Either<Refusal, FleetConfiguration> fleet = checks.configuration();
    Either<Refusal, RequestChecks.Caller> caller = fleet.flatMap(f -> checks.authenticate(context));
    if (caller.isLeft()) {
      checks.reject(context, caller.getLeft());
      return;
    }
    checks.readBody(
        context,
        fleet.get().defaults().maxBodyBytes(),
        bytes ->
            ChatRequest.parse(new String(bytes, StandardCharsets.UTF_8))
                .peek(chat -> admit(context, fleet.get(), caller.get(), chat))
                .peekLeft(message -> ApiError.invalid(message).send(context, checks.now())));
  }

  private void admit(
      Context context, FleetConfiguration fleet, RequestChecks.Caller caller, ChatRequest chat) {
    if (!isServed(fleet, chat.model())) {
      String message = "model \"" + chat.model() + "\" does not exist";
      checks.reject(context, new Refusal(RefusalCode.NOT_FOUND, message, Instant.EPOCH));
      return;
    }
    Deadline deadline = Deadline.after(ports.clock(), fleet.defaults().onlineTimeout());
    checks.admit(
        context,
        caller.organisation().id(),
        deadline,
        () -> dispatch(context, fleet, caller, chat, deadline));
  }

  private void dispatch(
      Context context,
      FleetConfiguration fleet,
      RequestChecks.Caller caller,
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
    ResponseStream response = new ResponseStream();
    AnswerListener listener =
        chat.stream()
            ? new LatencyListener(
                response, ports.clock(), ports.levels(), request.organisation(), fleet.defaults())
            : response;
    Call call = ports.dispatcher().submit(request, listener);
    ResponseDelivery delivery = new ResponseDelivery(checks, context, response);
    Authenticator.Session session =
        ports.authenticator().open(caller.key(), () -> delivery.endOnRevokedKey(call));
    response.end().thenRun(session::close);
    response.end().thenAccept(end -> checks.countAdmission(request.organisation(), end));
    delivery.start(call);
  }

  private static boolean isServed(FleetConfiguration fleet, ModelName model) {
    return fleet.engines().values().stream().anyMatch(e -> e.models().contains(model));
  }

  private void handleModels(Context context) {
    checks
        .authenticate(context)
        .flatMap(caller -> checks.configuration())
        .peekLeft(refusal -> checks.reject(context, refusal))
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
