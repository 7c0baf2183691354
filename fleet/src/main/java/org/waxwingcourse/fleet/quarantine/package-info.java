/**
 * Prompts on which engines crash: which are refused, how hosts exchange this, and how it is stored.
 */
package org.waxwingcourse.fleet.quarantine;
