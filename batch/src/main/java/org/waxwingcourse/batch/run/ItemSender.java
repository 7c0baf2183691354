package org.waxwingcourse.batch.run;

import org.waxwingcourse.batch.intake.BatchItem;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.time.Deadline;

/**
 * Sends items to their engine or service. The response and its outcome are passed to the listener.
 */
@FunctionalInterface
public interface ItemSender {
  /** Submits an admitted item without blocking. */
  Call send(OutgoingItem item, AnswerListener listener);

  /**
   * One attempt of an item.
   *
   * @param id the request id, unique for each attempt
   * @param key the idempotency key, the same for all attempts of the item
   * @param organisation the organisation that owns the job
   * @param item the item
   * @param deadline when the attempt is abandoned
   */
  record OutgoingItem(
      RequestId id, String key, OrganisationId organisation, BatchItem item, Deadline deadline) {}
}
