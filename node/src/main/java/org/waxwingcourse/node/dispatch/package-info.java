/** Sends requests to the owners of engines, and runs them there. */
package org.waxwingcourse.node.dispatch;
