/** The content of the store as a host knows it, and how recent that knowledge is. */
package org.waxwingcourse.fleet.view;
