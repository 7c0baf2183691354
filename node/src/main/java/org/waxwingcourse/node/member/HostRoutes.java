package org.waxwingcourse.node.member;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.Function;
import org.waxwingcourse.http.server.Routes;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.member.Member;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.node.web.RequestChecks;
import org.waxwingcourse.policy.hosts.HostAnswer;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** {@code GET /v1/hosts}: the hosts that a caller should use and how long the list is valid. */
public final class HostRoutes implements Routes {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Function<Option<OrganisationId>, HostAnswer> hostAnswers;
  private final RequestChecks checks;

  /** Creates the routes; {@code checks} authenticates the request's key. */
  public HostRoutes(
      Function<Option<OrganisationId>, HostAnswer> hostAnswers, RequestChecks checks) {
    this.hostAnswers = hostAnswers;
    this.checks = checks;
  }

  @Override
  public void addTo(Chain chain) {
    chain.get("v1/hosts", this::handle);
  }

  private void handle(Context context) throws Exception {
    if (context.getRequest().getHeaders().get("Authorization") == null) {
      send(context, Option.none());
      return;
    }
    Either<Refusal, RequestChecks.Caller> caller = checks.authenticate(context);
    if (caller.isLeft() && caller.getLeft().code() == RefusalCode.INVALID_KEY) {
      checks.reject(context, caller.getLeft());
    } else {
      send(context, caller.toOption().map(c -> c.organisation().id()));
    }
  }

  private void send(Context context, Option<OrganisationId> organisation) throws Exception {
    HostAnswer answer = hostAnswers.apply(organisation);
    Instant until = answer.validUntil().at().truncatedTo(ChronoUnit.MILLIS);
    ObjectNode body = MAPPER.createObjectNode();
    ArrayNode hosts = body.putArray("hosts");
    for (Member m : answer.hosts()) {
      hosts
          .addObject()
          .put("address", m.callerAddress().toString())
          .put("data_centre", m.dataCentre().value());
    }
    body.put("valid_until", until.toString());
    long maxAge = answer.validUntil().remaining(checks.now()).toSeconds();
    context.getResponse().getHeaders().set("Cache-Control", "private, max-age=" + maxAge);
    context.getResponse().status(answer.hosts().isEmpty() ? SERVICE_UNAVAILABLE : 200);
    context.getResponse().send("application/json", MAPPER.writeValueAsBytes(body));
  }
}
