package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.util.List;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * A run that occupies a slot.
 *
 * @param engine the engine
 * @param request id of the caller's request or the job's item
 * @param promptParts ids of the parts of its prompt, in order
 * @param fingerprint equal for online requests that ask for the same; none for an item
 */
public record GrantedRun(
    UpstreamId engine,
    RequestId request,
    List<Long> promptParts,
    Option<RequestFingerprint> fingerprint) {}
