/** Requests, answers and the outcomes that a caller is told. */
package org.waxwingcourse.model.request;
