/** Numbered log events. */
package org.waxwingcourse.model.event;
