/**
 * Schedules requests onto the slots of engines: the order of requests, the engine of each and which
 * requests are refused.
 */
package org.waxwingcourse.fleet.slot;
