/** Hosts as their peers see them. */
package org.waxwingcourse.model.member;
