/** What a node measures about itself. */
package org.waxwingcourse.node.metrics;
