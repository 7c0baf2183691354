package org.waxwingcourse.node.batch;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.waxwingcourse.batch.intake.BatchItem;
import org.waxwingcourse.batch.run.ItemSender;
import org.waxwingcourse.http.Header;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.InferenceRequest;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.node.dispatch.ServiceRequest;
import org.waxwingcourse.node.web.CallerPorts;
import org.waxwingcourse.upstream.service.ServiceCall;

/** Sends batch items through the dispatchers of online requests, as work of the batch class. */
final class BatchItemSender implements ItemSender {
  private static final String METHOD = "POST";

  private final CallerPorts ports;

  BatchItemSender(CallerPorts ports) {
    this.ports = ports;
  }

  @Override
  public Call send(Outgoing item, AnswerListener listener) {
    return item.item().target() instanceof BatchItem.Model model
        ? ports.dispatcher().submit(inference(item, model), listener)
        : callService(item, (BatchItem.Service) item.item().target(), listener);
  }

  private static InferenceRequest inference(Outgoing item, BatchItem.Model model) {
    return new InferenceRequest(
        item.id(),
        item.organisation(),
        model.name(),
        WorkClass.BATCH,
        item.item().body(),
        false,
        model.promptPrefix(),
        item.deadline());
  }

  private Call callService(Outgoing item, BatchItem.Service target, AnswerListener listener) {
    Option<PlainService> service = findService(ports, target.name());
    if (service.isEmpty()) {
      String message = "service \"" + target.name() + "\" does not exist";
      Refusal refusal = new Refusal(RefusalCode.NOT_FOUND, message, ports.clock().instant());
      listener.onEnd(new Outcome.Refused(refusal));
      return () -> {};
    }
    ServiceCall call =
        new ServiceCall(
            service.get(),
            METHOD,
            target.path(),
            List.of(
                Header.of("Content-Type", "application/json"),
                Header.of("Idempotency-Key", item.key())),
            item.item().body().getBytes(StandardCharsets.UTF_8),
            item.deadline());
    ServiceRequest request = new ServiceRequest(item.id(), Option.some(item.organisation()), call);
    return ports.services().submit(request, listener);
  }

  /** Returns a service as currently declared. */
  static Option<PlainService> findService(CallerPorts ports, ServiceName name) {
    return Option.ofOptional(
        ports.configuration().current().map(fleet -> fleet.services().get(name)));
  }
}
