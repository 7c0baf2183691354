/** Placement of keys on hosts. */
package org.waxwingcourse.policy.place;
