package org.waxwingcourse.model.request;

import io.vavr.control.Option;
import java.util.concurrent.CompletionStage;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/** Enforces the request rate of each organisation across all hosts, without blocking. */
@FunctionalInterface
public interface Admission {
  /**
   * Charges one request to the rate of the organisation, or returns a refusal with the reason and
   * the time at which to retry. A host without a share of the rate may have to ask another host
   * first.
   *
   * @param organisation the organisation whose rate is charged
   * @param work the class of the request; batch work leaves a part of the burst to online requests
   * @param deadline the time at which the caller stops waiting; the result completes before it
   */
  CompletionStage<Option<Refusal>> admit(
      OrganisationId organisation, WorkClass work, Deadline deadline);
}
