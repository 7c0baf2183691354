/**
 * A host of a fleet whose lasting state lies in a shared store: the hosts register there, choose a
 * coordinator that hands out the engines' slots, and serve callers and jobs.
 */
package org.waxwingcourse.fleet;
