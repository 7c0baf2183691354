/** Records what a node decided, for replay against stated outcomes. */
package org.waxwingcourse.node.trace;
