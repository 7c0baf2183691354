/** Finds in the logs of several processes what happened to one request or job, and why. */
package org.waxwingcourse.cli.explain;
