/** Points in time and the sources that give them. */
package org.waxwingcourse.model.time;
