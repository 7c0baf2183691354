/** Data centres that operators evacuate, and engines that are cold after a start or a return. */
package org.waxwingcourse.fleet.evacuate;
