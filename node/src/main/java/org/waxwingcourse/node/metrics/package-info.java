/** Metrics and service-level objectives of a node. */
package org.waxwingcourse.node.metrics;
