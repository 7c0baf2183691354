package org.waxwingcourse.node.web;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.request.Authenticator;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.node.dispatch.ServiceRequest;
import org.waxwingcourse.upstream.service.ServiceCall;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.Headers;

/** Plain services under {@code /services/<name>/}. */
final class ServiceRoutes implements Routes {
  private static final String NAME = "name";
  private static final String REST = "rest";

  private final CallerPorts ports;
  private final Gate gate;

  ServiceRoutes(CallerPorts ports, Gate gate) {
    this.ports = ports;
    this.gate = gate;
  }

  @Override
  public void addTo(Chain chain) {
    chain.path("services/:" + NAME + "/:" + REST + "?:.*", this::call);
  }

  private void call(Context context) {
    String name = context.getPathTokens().get(NAME);
    gate.configuration()
        .flatMap(fleet -> find(fleet, name).map(service -> new Target(fleet, service)))
        .peekLeft(refusal -> gate.refuse(context, refusal))
        .peek(target -> authorise(context, target));
  }

  private record Target(FleetConfiguration fleet, PlainService service) {}

  private static Either<Refusal, PlainService> find(FleetConfiguration fleet, String name) {
    String message = "service \"" + name + "\" does not exist";
    return Option.of(fleet.services().get(ServiceName.of(name)))
        .toEither(() -> new Refusal(RefusalCode.NOT_FOUND, message, Instant.EPOCH));
  }

  private void authorise(Context context, Target target) {
    if (target.service().open()) {
      read(context, target, Option.none());
      return;
    }
    gate.caller(context)
        .peekLeft(refusal -> gate.refuse(context, refusal))
        .peek(caller -> read(context, target, Option.some(caller)));
  }

  private void read(Context context, Target target, Option<Gate.Caller> caller) {
    int limit = target.fleet().defaults().maxBodyBytes();
    gate.body(context, limit, body -> admit(context, target, caller, body));
  }

  private void admit(Context context, Target target, Option<Gate.Caller> caller, byte[] body) {
    Deadline deadline = Deadline.after(ports.clock(), target.fleet().defaults().onlineTimeout());
    ServiceRequest request = request(context, target.service(), caller, body, deadline);
    if (caller.isEmpty()) {
      dispatch(context, caller, request);
      return;
    }
    gate.admit(
        context,
        caller.get().organisation().id(),
        deadline,
        () -> dispatch(context, caller, request));
  }

  private static ServiceRequest request(
      Context context,
      PlainService service,
      Option<Gate.Caller> caller,
      byte[] body,
      Deadline deadline) {
    String query = context.getRequest().getQuery();
    String rest = context.getPathTokens().getOrDefault(REST, "");
    ServiceCall call =
        new ServiceCall(
            service,
            context.getRequest().getMethod().getName(),
            "/" + rest + (query.isEmpty() ? "" : "?" + query),
            headers(context.getRequest().getHeaders()),
            body,
            deadline);
    return new ServiceRequest(RequestId.random(), caller.map(c -> c.organisation().id()), call);
  }

  private static List<Header> headers(Headers headers) {
    return headers.getNames().stream()
        .flatMap(name -> headers.getAll(name).stream().map(value -> Header.of(name, value)))
        .toList();
  }

  private void dispatch(Context context, Option<Gate.Caller> caller, ServiceRequest request) {
    AnswerStream answer = new AnswerStream();
    Call call = ports.services().submit(request, answer);
    Delivery delivery = new Delivery(gate, context, answer);
    caller.peek(
        c -> {
          Authenticator.Session session =
              ports.authenticator().open(c.key(), () -> delivery.withdraw(call));
          answer.end().thenRun(session::close);
          answer.end().thenAccept(end -> gate.countEnd(c.organisation().id(), end));
        });
    delivery.begin(call);
  }
}
