/** The engines as the fleet sees them, and the port through which it calls them. */
package org.waxwingcourse.fleet.engine;
