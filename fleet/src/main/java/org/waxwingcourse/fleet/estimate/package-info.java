/** What is known in advance of a run: the tokens that its caller states. */
package org.waxwingcourse.fleet.estimate;
