package org.waxwingcourse.fleet.slot;

/**
 * The load of a service's engines.
 *
 * @param slots slots of usable engines
 * @param online online runs, without those on engines that are leaving
 * @param batch batch runs, likewise
 * @param onlineWaiting online requests that wait for a slot
 * @param batchWaiting batch items that wait for a slot
 */
public record SlotLoad(int slots, int online, int batch, int onlineWaiting, int batchWaiting) {}
