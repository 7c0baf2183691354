/** What a host knows of the store's tables and how recent that knowledge is. */
package org.waxwingcourse.fleet.view;
