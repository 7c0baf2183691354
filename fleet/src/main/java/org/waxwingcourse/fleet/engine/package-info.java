/**
 * Engines as listed in the store, and the interface through which the fleet sends them requests.
 */
package org.waxwingcourse.fleet.engine;
