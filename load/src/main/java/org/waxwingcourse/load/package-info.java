/** An open-loop load tool. */
package org.waxwingcourse.load;
