/** Messages between hosts. */
package org.waxwingcourse.peer;
