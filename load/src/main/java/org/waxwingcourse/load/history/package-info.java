/** Checks recorded admission histories independently of the code that made the decisions. */
package org.waxwingcourse.load.history;
