/** Joins the parts to one node and serves callers. */
package org.waxwingcourse.node;
