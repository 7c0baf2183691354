/** Immutable values of the configuration that operators declare. */
package org.waxwingcourse.model.fleet;
