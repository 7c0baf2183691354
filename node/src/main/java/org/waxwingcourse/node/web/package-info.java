/**
 * The HTTP interfaces of a node: for callers, in the format of the OpenAI API, and for operators.
 */
package org.waxwingcourse.node.web;
