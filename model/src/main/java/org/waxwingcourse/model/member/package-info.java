/** The membership of the fleet as one host sees it. */
package org.waxwingcourse.model.member;
