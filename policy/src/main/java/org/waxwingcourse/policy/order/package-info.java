/** Decides when the owner of an engine may send orders to it. */
package org.waxwingcourse.policy.order;
