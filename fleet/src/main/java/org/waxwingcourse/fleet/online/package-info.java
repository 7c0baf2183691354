/** Serves requests whose callers wait. */
package org.waxwingcourse.fleet.online;
