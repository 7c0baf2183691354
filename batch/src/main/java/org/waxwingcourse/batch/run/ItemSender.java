package org.waxwingcourse.batch.run;

import org.waxwingcourse.batch.intake.BatchItem;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.AnswerListener;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.time.Deadline;

/** Sends one item to its engine or service; the answer, and its end, reach the listener. */
@FunctionalInterface
public interface ItemSender {
  /** Submits an item that was admitted. Never blocks. */
  Call send(Outgoing item, AnswerListener listener);

  /**
   * One try of an item.
   *
   * @param id unique for each try
   * @param key the same for each try of the item
   * @param organisation who it runs for
   * @param item the item
   * @param deadline when nobody waits for the answer any more
   */
  record Outgoing(
      RequestId id, String key, OrganisationId organisation, BatchItem item, Deadline deadline) {}
}
