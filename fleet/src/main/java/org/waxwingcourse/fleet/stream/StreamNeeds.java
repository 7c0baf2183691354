package org.waxwingcourse.fleet.stream;

import io.vavr.control.Option;
import org.waxwingcourse.fleet.engine.SoftwareId;

/**
 * What a request for a slot says of its stream.
 *
 * @param key the stream; none if the caller who takes it up does not name it
 * @param begun whether events of the stream have reached the caller, so that only the software that
 *     sent them may go on
 * @param software that software, none if the requesting host does not know it
 */
public record StreamNeeds(Option<StreamKey> key, boolean begun, Option<SoftwareId> software) {}
