/** Records the admission decisions of a node, for replay against expected outcomes. */
package org.waxwingcourse.node.trace;
