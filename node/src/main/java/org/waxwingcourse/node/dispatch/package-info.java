/** Dispatches requests to the owners of engines, which run them. */
package org.waxwingcourse.node.dispatch;
