/** Decides when the owner of an engine may give it orders. */
package org.waxwingcourse.policy.order;
