package org.waxwingcourse.model.request;

import io.vavr.control.Option;
import java.util.concurrent.CompletionStage;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.time.Deadline;

/** Holds organisations to their rates over all hosts together. Never blocks. */
@FunctionalInterface
public interface Admission {
  /**
   * Takes one request out of the organisation's rate, or says why not and when to come back. A host
   * that holds no share may have to ask another one first.
   *
   * @param organisation whose rate is charged
   * @param work batch work leaves a part of the burst to online requests
   * @param deadline when the caller stops waiting; the answer comes before it
   */
  CompletionStage<Option<Refusal>> admit(
      OrganisationId organisation, WorkClass work, Deadline deadline);
}
