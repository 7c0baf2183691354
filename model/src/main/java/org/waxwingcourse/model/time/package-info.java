/** Deadlines and clocks. */
package org.waxwingcourse.model.time;
