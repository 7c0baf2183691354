/** Serves online requests, whose callers wait for the answer. */
package org.waxwingcourse.fleet.online;
