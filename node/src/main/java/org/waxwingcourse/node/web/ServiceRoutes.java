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

/** Routes to the plain services under {@code /services/<name>/}. */
final class ServiceRoutes implements Routes {
  private static final String NAME_TOKEN = "name";
  private static final String PATH_TOKEN = "rest";

  private final CallerPorts ports;
  private final RequestChecks checks;

  ServiceRoutes(CallerPorts ports, RequestChecks checks) {
    this.ports = ports;
    this.checks = checks;
  }

  @Override
  public void addTo(Chain chain) {
    chain.path("services/:" + NAME_TOKEN + "/:" + PATH_TOKEN + "?:.*", this::handle);
  }

  private void handle(Context context) {
    String name = context.getPathTokens().get(NAME_TOKEN);
    checks
        .configuration()
        .flatMap(fleet -> findService(fleet, name).map(service -> new Target(fleet, service)))
        .peekLeft(refusal -> checks.reject(context, refusal))
        .peek(target -> authorise(context, target));
  }

  private record Target(FleetConfiguration fleet, PlainService service) {}

  private static Either<Refusal, PlainService> findService(FleetConfiguration fleet, String name) {
    String message = "service \"" + name + "\" does not exist";
    return Option.of(fleet.services().get(ServiceName.of(name)))
        .toEither(() -> new Refusal(RefusalCode.NOT_FOUND, message, Instant.EPOCH));
  }

  private void authorise(Context context, Target target) {
    if (target.service().open()) {
      readBody(context, target, Option.none());
      return;
    }
    checks
        .authenticate(context)
        .peekLeft(refusal -> checks.reject(context, refusal))
        .peek(caller -> readBody(context, target, Option.some(caller)));
  }

  private void readBody(Context context, Target target, Option<RequestChecks.Caller> caller) {
    int limit = target.fleet().defaults().maxBodyBytes();
    checks.readBody(context, limit, body -> admit(context, target, caller, body));
  }

  private void admit(
      Context context, Target target, Option<RequestChecks.Caller> caller, byte[] body) {
    Deadline deadline = Deadline.after(ports.clock(), target.fleet().defaults().onlineTimeout());
    ServiceRequest request = toServiceRequest(context, target.service(), caller, body, deadline);
    if (caller.isEmpty()) {
      dispatch(context, caller, request);
      return;
    }
    checks.admit(
        context,
        caller.get().organisation().id(),
        deadline,
        () -> dispatch(context, caller, request));
  }

  private static ServiceRequest toServiceRequest(
      Context context,
      PlainService service,
      Option<RequestChecks.Caller> caller,
      byte[] body,
      Deadline deadline) {
    String query = context.getRequest().getQuery();
    String rest = context.getPathTokens().getOrDefault(PATH_TOKEN, "");
    ServiceCall call =
        new ServiceCall(
            service,
            context.getRequest().getMethod().getName(),
            "/" + rest + (query.isEmpty() ? "" : "?" + query),
            headersOf(context.getRequest().getHeaders()),
            body,
            deadline);
    return new ServiceRequest(RequestId.random(), caller.map(c -> c.organisation().id()), call);
  }

  private static List<Header> headersOf(Headers headers) {
    return headers.getNames().stream()
        .flatMap(name -> headers.getAll(name).stream().map(value -> Header.of(name, value)))
        .toList();
  }

  private void dispatch(
      Context context, Option<RequestChecks.Caller> caller, ServiceRequest request) {
    ResponseStream response = new ResponseStream();
    Call call = ports.services().submit(request, response);
    ResponseDelivery delivery = new ResponseDelivery(checks, context, response);
    caller.peek(
        c -> {
          Authenticator.Session session =
              ports.authenticator().open(c.key(), () -> delivery.endOnRevokedKey(call));
          response.end().thenRun(session::close);
          response.end().thenAccept(end -> checks.countAdmission(c.organisation().id(), end));
        });
    delivery.start(call);
  }
}
