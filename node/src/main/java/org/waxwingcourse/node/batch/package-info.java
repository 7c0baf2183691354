/** Batch work in the node: the published batch API, and the service that runs chunks. */
package org.waxwingcourse.node.batch;
