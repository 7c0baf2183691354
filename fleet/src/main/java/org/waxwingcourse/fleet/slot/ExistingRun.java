package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;

/**
 * A run that a host reports to a coordinator that has not granted it.
 *
 * @param request id of the caller's request or the job's item, for logs
 * @param promptParts ids of the parts of its prompt, in order
 * @param fingerprint equal for online requests that ask for the same; none for an item
 * @param online whether a caller waits for it
 * @param work the work of a batch run, none if it is not known
 * @param startedAt when it started
 * @param tokens most memory of its engine in tokens that it needs, zero if not stated
 */
public record ExistingRun(
    RequestId request,
    List<Long> promptParts,
    Option<RequestFingerprint> fingerprint,
    boolean online,
    Option<BatchWork> work,
    Instant startedAt,
    int tokens) {
  /** Creates a run of which no size is stated. */
  public ExistingRun(
      RequestId request,
      List<Long> promptParts,
      Option<RequestFingerprint> fingerprint,
      boolean online,
      Option<BatchWork> work,
      Instant startedAt) {
    this(request, promptParts, fingerprint, online, work, startedAt, 0);
  }

  /** Copies the list. */
  public ExistingRun {
    promptParts = List.copyOf(promptParts);
  }
}
