/** Requests, their answers and their outcomes. */
package org.waxwingcourse.model.request;
