/** Log events with numbers that identify them. */
package org.waxwingcourse.model.event;
