package org.waxwingcourse.fleet.view;

import org.waxwingcourse.fleet.engine.EngineBoot;

/**
 * A change of what a host knows of the limit of an engine.
 *
 * @param boot the boot of the engine
 * @param reading what it has said last
 * @param version number of the change on the host that knows of it, zero if it comes from another
 */
public record LimitChange(EngineBoot boot, LimitReading reading, long version) {}
