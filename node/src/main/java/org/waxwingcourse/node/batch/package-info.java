/** Batch work in the node: the OpenAI batch API and the service that runs chunks. */
package org.waxwingcourse.node.batch;
