/** The HTTP interface towards callers, in the form of the OpenAI API, and the operators' one. */
package org.waxwingcourse.node.web;
