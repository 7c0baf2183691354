/**
 * A host of a fleet that keeps its durable state in a shared store. The hosts register in the
 * store, choose a coordinator that grants the engines' slots, and serve online requests and jobs.
 */
package org.waxwingcourse.fleet;
