/** Explains the outcome of one request or job from the logs of several processes. */
package org.waxwingcourse.cli.explain;
