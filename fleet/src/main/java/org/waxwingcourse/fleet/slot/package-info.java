/** Decides which request gets which engine's slot, in what order, and which one is turned away. */
package org.waxwingcourse.fleet.slot;
