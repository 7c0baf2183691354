/** The operators' configuration as immutable values. */
package org.waxwingcourse.model.fleet;
