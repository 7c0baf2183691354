package org.waxwingcourse.fleet.slot;

/**
 * The load of a service's engines.
 *
 * @param slots slots of engines that get work
 * @param online online runs
 * @param batch batch runs
 * @param onlineWaiting online requests without a slot
 * @param batchWaiting batch items without a slot
 */
public record SlotLoad(int slots, int online, int batch, int onlineWaiting, int batchWaiting) {}
