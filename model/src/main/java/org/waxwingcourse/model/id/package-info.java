/** Value types for the names and numbers that identify things. */
package org.waxwingcourse.model.id;
