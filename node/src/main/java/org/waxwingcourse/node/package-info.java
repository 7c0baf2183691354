/** Assembles the components of a node, which serves callers. */
package org.waxwingcourse.node;
